/**
 * TCP path from one node to one upstream that can be severed. It runs on a thread of its own: while the thread is
 * blocked, established connections carry nothing and new ones are not established, as behind a partition.
 */
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import { startTimeout } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { MAX_PORT, MIN_PORT } from '../free-ports.js'

/**
 * How a path is severed.
 *
 * - `silent`: connections hang, also new ones
 * - `reset`: established connections are reset, and new ones hang
 * - `refuse`: established connections live on, and new ones are refused
 */
export type Severance = 'silent' | 'reset' | 'refuse'

/** A path to one upstream. */
export interface SeverablePath {
  /** Address at which the path begins. */
  readonly address: string
  sever (how: Severance): Promise<void>
  /** Restores a path that was severed, with the bytes that were held up. */
  restore (): Promise<void>
  close (): Promise<void>
}

type Command = 'reset' | 'refuse' | 'block' | 'listen'

/** Connections that the kernel establishes for a thread that does not accept them, with a queue of one. */
const UNACCEPTED_CONNECTIONS = 2

/**
 * Time after which a connection that has not been established finds the queue full. The kernel establishes one on the loopback interface
 * while it is being opened.
 */
const FULL_QUEUE_TIMEOUT: Milliseconds = 100

/** Longest wait for the thread of a path to carry out a command. */
const COMMAND_TIMEOUT: Milliseconds = 15_000

const BLOCKED = 1
const RUNNING = 0

/** Program of the thread. The main thread wakes it by changing the shared word, since a blocked thread reads no message. */
const RELAY_PROGRAM = `
const { connect, createServer } = require('node:net')
const { parentPort, workerData: { host, port, state } } = require('node:worker_threads')
const sockets = new Set()
let address
let server

function relay (inbound) {
  const outbound = connect(port, host)
  for (const [from, to] of [[inbound, outbound], [outbound, inbound]]) {
    sockets.add(from)
    from.on('error', () => to.destroy())
    from.on('close', () => { sockets.delete(from); to.destroy() })
    from.pipe(to)
  }
}

function listen () {
  server = createServer(relay)
  server.once('error', (error) => {
    if (address !== undefined || error.code !== 'EADDRINUSE') throw error
    listen()
  })
  server.listen({ host: '127.0.0.1', port: address?.port ?? randomPort(), backlog: 1 }, () => {
    address = server.address()
    parentPort.postMessage(address)
  })
}

function randomPort () {
  return ${MIN_PORT} + Math.floor(Math.random() * ${MAX_PORT - MIN_PORT})
}

const commands = {
  reset: () => { for (const socket of sockets) socket.resetAndDestroy() },
  refuse: () => server.close(),
  block: () => Atomics.wait(state, 0, ${BLOCKED}),
  listen
}
parentPort.on('message', (command) => {
  if (command !== 'block') commands[command]()
  if (command !== 'listen') parentPort.postMessage(command)
  if (command === 'block') commands.block()
})
listen()
`

/**
 * Opens a path to the address of an upstream.
 *
 * @example
 * const path = await openSeverablePath(upstream.address)
 * await path.sever('silent')
 */
export async function openSeverablePath (target: string): Promise<SeverablePath> {
  const [host, port] = target.split(':')
  const state = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))
  const worker = new Worker(RELAY_PROGRAM, { eval: true, workerData: { host, port: Number(port), state } })
  const nextMessage = <Message>(): Promise<Message> => new Promise((resolve) => { worker.once('message', resolve) })
  const listening = await nextMessage<AddressInfo>()
  const fillers: Socket[] = []
  let isRefusing = false

  async function order (command: Command): Promise<void> {
    const done = nextMessage()
    worker.postMessage(command)
    await new Promise<void>((resolve, reject) => {
      const cancel = startTimeout(COMMAND_TIMEOUT, () => reject(new Error(`the thread of a path has not answered to ${command}`)), false)
      done.then(() => {
        cancel()
        resolve()
      }, reject)
    })
  }

  async function block (): Promise<void> {
    Atomics.store(state, 0, BLOCKED)
    await order('block')
    await Promise.all(Array.from({ length: UNACCEPTED_CONNECTIONS }, takePlace))
  }

  /**
   * Takes a place in the queue of connections that wait to be accepted.
   *
   * Failure guarded against: nodes whose connections are reset open others at once and take the places, so that the wait for this
   * connection never ends. The queue is full then all the same.
   */
  function takePlace (): Promise<void> {
    return new Promise((resolve) => {
      const cancel = startTimeout(FULL_QUEUE_TIMEOUT, resolve)
      const socket = connect(listening.port, listening.address, () => {
        cancel()
        resolve()
      })
      socket.on('error', () => {})
      fillers.push(socket)
    })
  }

  function unblock (): void {
    Atomics.store(state, 0, RUNNING)
    Atomics.notify(state, 0)
    for (const socket of fillers.splice(0)) socket.destroy()
  }

  return {
    address: `${listening.address}:${listening.port}`,
    sever: async (how) => {
      switch (how) {
        case 'silent': return block()
        case 'reset':
          await order('reset')
          return block()
        case 'refuse':
          isRefusing = true
          return order('refuse')
      }
    },
    restore: async () => {
      unblock()
      if (isRefusing) await order('listen')
      isRefusing = false
    },
    close: async () => {
      unblock()
      await worker.terminate()
    }
  }
}
