/**
 * Feeds of stream origins: one connection to each holder, over which a node sends the origins as they arise, one line each.
 *
 * Load pattern: each resumable stream sends three small messages that nothing waits for. A call for each costs both nodes
 * several times the processor time of a line.
 */
import { request } from 'node:http'
import type { ClientRequest, IncomingMessage, ServerResponse } from 'node:http'
import * as z from 'zod'
import type { Clock, Milliseconds } from '../clock.js'
import { hostPortOf } from '../host-port.js'
import { readJson } from '../json.js'
import { streamIdSchema, streamOriginSchema } from '../stream-origins/index.js'
import type { ReachablePeers } from './reachable-peers.js'

const streamBeganSchema = z.object({ stream: streamIdSchema, origin: streamOriginSchema })

/** The origin of a stream whose first event is about to be relayed. */
export type StreamBegan = z.infer<typeof streamBeganSchema>

/** Feeds to other nodes. */
export interface OriginFeeds {
  /** Sends a message without waiting for it. A holder that does not confirm is left out for a while. */
  send (address: string, message: StreamBegan): void
  /** Closes all feeds. */
  close (): void
}

/** Path of a feed at the server for requests of other nodes. */
export const ORIGIN_FEED_PATH = '/stream-origins'

/** Time within which a holder must confirm what it was sent; after it, the connection may hang. */
const CONFIRMATION_TIMEOUT: Milliseconds = 2_000

/** Time for which a holder that failed is sent nothing. */
const FAILURE_PAUSE: Milliseconds = 1_000

/** Time after which an unused feed is closed. */
const IDLE_TIMEOUT: Milliseconds = 60_000

/** Maximum number of characters of a line that has not ended. */
const MAX_LINE_LENGTH = 4_096

const SUCCESS = 200
const CONFIRMATION = '.'

/** Age at which a feed is replaced. The server of a holder ends requests that take five minutes. */
const MAX_AGE: Milliseconds = 120_000

interface Feed {
  readonly outgoing: ClientRequest
  readonly openedAt: Milliseconds
  /** Time of the first message that has not been confirmed. */
  unconfirmedSince: Milliseconds | undefined
}

/**
 * Creates feeds that open with their first message.
 *
 * @example
 * const feeds = createOriginFeeds(clock, reachable)
 * feeds.send('10.1.0.16:7500', { stream: '9c41d07be2a35f68', origin: { service: 'plans', version: 'v2' } })
 */
export function createOriginFeeds (clock: Clock, reachable: ReachablePeers): OriginFeeds {
  const feeds = new Map<string, Feed>()

  function open (address: string): Feed {
    const outgoing = request({ ...hostPortOf(address), method: 'POST', path: ORIGIN_FEED_PATH, agent: false })
    const feed: Feed = { outgoing, openedAt: clock.now(), unconfirmedSince: undefined }
    outgoing.setNoDelay(true)
    outgoing.setTimeout(IDLE_TIMEOUT, () => outgoing.end())
    outgoing.on('response', (answer) => readConfirmations(address, feed, answer))
    outgoing.on('error', (error) => reachable.lost(address, error))
    outgoing.on('close', () => { if (feeds.get(address) === feed) feeds.delete(address) })
    feeds.set(address, feed)
    return feed
  }

  function readConfirmations (address: string, feed: Feed, answer: IncomingMessage): void {
    if (answer.statusCode !== SUCCESS) {
      feed.outgoing.destroy(new Error(`status ${answer.statusCode}`))
      return
    }
    answer.on('data', () => {
      feed.unconfirmedSince = undefined
      reachable.regained(address)
    })
    answer.on('error', (error) => reachable.lost(address, error))
  }

  /** Returns the open feed of a holder, unless it is old or the holder has not confirmed in time; these are closed. */
  function usableFeed (address: string): Feed | undefined {
    const feed = feeds.get(address)
    if (feed === undefined) return undefined
    const now = clock.now()
    if (now - (feed.unconfirmedSince ?? now) > CONFIRMATION_TIMEOUT) feed.outgoing.destroy(new Error('the holder confirms nothing'))
    else if (now - feed.openedAt > MAX_AGE) feed.outgoing.end()
    return feed.outgoing.destroyed || feed.outgoing.writableEnded ? undefined : feed
  }

  return {
    send: (address, message) => {
      if (reachable.hasFailedWithin(address, FAILURE_PAUSE)) return
      const feed = usableFeed(address) ?? open(address)
      feed.unconfirmedSince ??= clock.now()
      feed.outgoing.write(`${JSON.stringify(message)}\n`)
    },
    close: () => { for (const { outgoing } of feeds.values()) outgoing.destroy() }
  }
}

/**
 * Reads the feed of another node and confirms each part of it. A malformed feed is closed.
 *
 * @param onBegan called with each message
 * @example
 * if (request.url === ORIGIN_FEED_PATH) receiveOriginFeed(request, response, onBegan)
 */
export function receiveOriginFeed (incoming: IncomingMessage, response: ServerResponse, onBegan: (message: StreamBegan) => void): void {
  let pending = ''
  incoming.setEncoding('utf8')
  incoming.on('data', (chunk: string) => {
    const lines = (pending + chunk).split('\n')
    pending = lines.pop() ?? ''
    const messages = lines.map((line) => readJson(streamBeganSchema, line))
    if (messages.includes(undefined) || pending.length > MAX_LINE_LENGTH) {
      incoming.destroy()
      return
    }
    for (const message of messages) onBegan(message!)
    response.write(CONFIRMATION)
  })
  incoming.on('end', () => response.end())
}
