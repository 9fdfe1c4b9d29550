/**
 * Runs gateway nodes on threads of their own, a few on each.
 *
 * Failure guarded against: a fleet shares one event loop with its store and its upstreams, so that a busy node delays all that the
 * others need. On machines of their own they don't.
 */
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import type { GatewayNode } from '../../src/gateway/node.js'
import type { NodeOptions } from './deployment.js'
import type { NodeThreadMessage } from './node-thread.js'

/** Module that a thread runs. */
const NODE_PROGRAM = new URL('./node-thread.js', import.meta.url).href

/** Threads don't inherit the loader of TypeScript. */
const LOADER = import.meta.url.endsWith('.ts') ? "(await import('tsx/esm/api')).register();" : ''

/** Nodes on threads. */
export interface NodeThreads {
  readonly addresses: readonly GatewayNode['addresses'][]
  stop (): Promise<void>
  /** Ends the threads as a kill ends processes: without a last write to the store or a word to other nodes. */
  kill (): Promise<void>
}

/**
 * Starts the nodes.
 *
 * @param nodesPerThread number of nodes that share a thread
 * @param write receives their log lines
 * @example
 * const threads = await startNodesInThreads(options, 5, (line) => lines.push(line))
 */
export async function startNodesInThreads (options: readonly NodeOptions[], nodesPerThread: number, write: (line: string) => void): Promise<NodeThreads> {
  const groups = Array.from({ length: Math.ceil(options.length / nodesPerThread) }, (_, index) => options.slice(index * nodesPerThread, (index + 1) * nodesPerThread))
  const threads = await Promise.all(groups.map((group) => startThread(group, write)))
  return {
    addresses: threads.flatMap(({ addresses }) => addresses),
    stop: async () => { await Promise.all(threads.map((thread) => thread.stop())) },
    kill: async () => { await Promise.all(threads.map((thread) => thread.kill())) }
  }
}

function startThread (options: readonly NodeOptions[], write: (line: string) => void): Promise<NodeThreads> {
  const worker = new Worker(`(async () => { ${LOADER} await import('${NODE_PROGRAM}') })()`, { eval: true, workerData: options })
  const ended = once(worker, 'exit')
  let isKilled = false
  const stop = async (): Promise<void> => {
    if (!isKilled) worker.postMessage('stop')
    await ended
  }
  const kill = async (): Promise<void> => {
    isKilled = true
    await worker.terminate()
  }
  return new Promise((resolve, reject) => {
    worker.once('error', reject)
    worker.on('message', (message: NodeThreadMessage) => {
      switch (message.kind) {
        case 'line':
          write(message.line)
          return
        case 'started': resolve({ addresses: message.addresses, stop, kill })
      }
    })
  })
}
