/** Program of a thread that runs some gateway nodes, started by {@link startNodesInThreads}. */
import { parentPort, workerData } from 'node:worker_threads'
import { createSystemClock } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { runNode } from './deployment.js'
import type { NodeOptions } from './deployment.js'

/** Message of a thread to the process. */
export type NodeThreadMessage =
  | { readonly kind: 'line', readonly line: string }
  | { readonly kind: 'started', readonly addresses: readonly GatewayNode['addresses'][] }

const clock = createSystemClock()
const send = (message: NodeThreadMessage): void => parentPort?.postMessage(message)

const nodes = await Promise.all((workerData as readonly NodeOptions[]).map((options) => runNode(clock, options, (line) => send({ kind: 'line', line }))))
parentPort?.once('message', () => {
  Promise.all(nodes.map((node) => node.stop())).then(() => parentPort?.close(), (error) => { throw error })
})
send({ kind: 'started', addresses: nodes.map(({ addresses }) => addresses) })
