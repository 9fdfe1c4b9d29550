/** HTTP server of a node for calls of its peers. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { readBody, sendFailure, sendJson } from '../caller/http.js'
import { bearerKey, equalHashes, sha256 } from '../credentials.js'
import { ServingError, toServingError } from '../verdict.js'
import { createPeerRouter } from './router.js'
import type { PeerHandlers } from './router.js'
import { answerSuspicion, SUSPICION_PATH, suspicionBatchSchema } from './suspicion.js'
import type { SuspicionHandlers } from './suspicion.js'

/** Maximum size of a message body in bytes. The largest messages are hand-overs, which contain complete requests. */
const MAX_BODY_BYTES = 16_777_216

/**
 * Creates the server of a node for its peers.
 *
 * @param peerKey shared secret of the processes of the system
 * @returns a server that is not listening yet; the caller starts and closes the server
 * @example
 * const server = createPeerServer(settings.peer_key, handlers, permits.handlers)
 */
export function createPeerServer (peerKey: string, handlers: PeerHandlers, suspicion: SuspicionHandlers): Server {
  const expected = sha256(peerKey)

  function isAuthorised (request: IncomingMessage): boolean {
    const key = bearerKey(request.headers.authorization)
    return key !== undefined && equalHashes(sha256(key), expected)
  }

  const handleProcedures = createHTTPHandler({
    router: createPeerRouter(handlers),
    maxBodySize: MAX_BODY_BYTES,
    createContext: ({ req }) => ({ authorised: isAuthorised(req) })
  })

  return createServer((request, response) => {
    if (request.url !== SUSPICION_PATH) return handleProcedures(request, response)
    handleSuspicion(request, response).catch((error) => sendFailure(response, toServingError(error, 'not-run')))
  })

  async function handleSuspicion (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!isAuthorised(request)) throw new ServingError('the peers\' key is required', { code: 'unauthenticated', verdict: 'not-run' })
    const batch = suspicionBatchSchema.safeParse(parseJson(await readBody(request, MAX_BODY_BYTES)))
    if (!batch.success) throw new ServingError('malformed message', { code: 'invalid-request', verdict: 'not-run' })
    sendJson(response, 200, { answers: batch.data.messages.map((message) => answerSuspicion(suspicion, message)) })
  }
}

function parseJson (bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'))
  } catch {
    return undefined
  }
}
