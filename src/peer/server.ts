/** The peers' listener of a node. */
import type { Server } from 'node:http'
import { createHTTPServer } from '@trpc/server/adapters/standalone'
import { bearerKey, equalHashes, sha256 } from '../credentials.js'
import { createPeerRouter } from './router.js'
import type { PeerHandlers } from './router.js'

/** Largest peer message: a hand-over carries whole requests. */
const LARGEST_BODY = 16_777_216

/**
 * @param peerKey shared secret of the system's own processes
 * @returns a server that the owner listens with and closes
 * @example
 * const server = createPeerServer(settings.peer_key, handlers)
 */
export function createPeerServer (peerKey: string, handlers: PeerHandlers): Server {
  const expected = sha256(peerKey)
  return createHTTPServer({
    router: createPeerRouter(handlers),
    maxBodySize: LARGEST_BODY,
    createContext: ({ req }) => {
      const key = bearerKey(req.headers.authorization)
      return { authorised: key !== undefined && equalHashes(sha256(key), expected) }
    }
  })
}
