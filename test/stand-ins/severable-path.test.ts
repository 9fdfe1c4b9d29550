/** The path that can be severed. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { createSystemClock, SECOND } from '../../src/clock.js'
import { openSeverablePath } from '../../stand-ins/machines/severable-path.js'
import type { SeverablePath } from '../../stand-ins/machines/severable-path.js'
import { listenOnFreePort } from '../listening.js'
import { waitUntil } from '../wait-until.js'

const clock = createSystemClock()

/** Connections that are opened during the severance; more than the kernel establishes for a blocked thread. */
const CONNECTIONS = 8

/** Time after which the thread of the path has been blocked. */
const BLOCKING_TIME = 200

describe('a severable path', () => {
  const sockets: Socket[] = []
  let server: Server
  let path: SeverablePath

  before(async () => {
    server = createServer((socket) => {
      sockets.push(socket)
      socket.on('error', () => {})
      socket.write('hello')
    })
    path = await openSeverablePath(await listenOnFreePort(server))
  })

  after(async () => {
    for (const socket of sockets) socket.destroy()
    await path?.close()
    server?.close()
  })

  function open (): Socket {
    const [host, port] = path.address.split(':')
    const socket = connect(Number(port), host)
    socket.on('error', () => {})
    sockets.push(socket)
    return socket
  }

  // Guards against a path that can't listen again once it has refused connections, since the kernel gave its port to another socket.
  it('has a port that the kernel gives to no socket that names none', () => {
    const [lowest] = readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8').trim().split(/\s+/)
    assert.ok(Number(path.address.split(':')[1]) < Number(lowest))
  })

  // Guards against a severance that never ends, and its test with it: connections of nodes take the places in the queue that are to be filled.
  it('is severed although others open connections meanwhile', async () => {
    let isSevered = false
    path.sever('silent').then(() => { isSevered = true }, assert.fail)
    // Before the end of this wait the path's thread is blocked, and this one has not learned of it.
    const end = performance.now() + BLOCKING_TIME
    while (performance.now() < end);
    for (let index = 0; index < CONNECTIONS; index += 1) open()
    await waitUntil(() => isSevered, { clock, what: 'the severance', limit: 5 * SECOND })
    const late = open()
    await clock.sleep(BLOCKING_TIME)
    assert.equal(late.connecting, true)
    await path.restore()
    const [hello] = await once(open(), 'data')
    assert.equal(String(hello), 'hello')
  })
})
