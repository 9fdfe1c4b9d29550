/** Notes to the buddy as a role: batches each quarter of a second while requests begin and end. */
import { randomBytes } from 'node:crypto'
import { sha256 } from '../../src/credentials.js'
import { classNameSchema, organisationNameSchema, requestIdFor, upstreamNameSchema } from '../../src/identifiers.js'
import { createPeers } from '../../src/peer/client.js'
import type { PeerClient } from '../../src/peer/client.js'
import { createRandom } from '../../src/random.js'
import { createNoteReceiver, createNoteWriter } from '../../src/request/index.js'
import type { NoteWriter, OpenNote } from '../../src/request/index.js'
import { SIZES } from '../agreement/measure.js'
import { HOME, listenAsPeer, PEER, PEER_KEY, REQUESTS_PER_SECOND } from './peer-pair.js'
import type { CapacityRole } from './role.js'
import { createCountedConnections, OPEN_CONNECTION_PACKET_BYTES } from './sockets.js'
import type { CountedConnections } from './sockets.js'

/** What notes cost a second of a node's life. */
export interface NoteRates {
  readonly batches: number
  /** Bytes at the sockets, sent to the buddy and its answers. */
  readonly bytes: number
  /** Processor time of both ends, in microseconds. */
  readonly processorMicroseconds: number
}

/** Batches leave each quarter of a second, as in `entry/note-receiver`. */
const BATCHES_PER_SECOND = 4

/** First token after half a second, then 500 tokens at 34 ms. */
const NAMED_AFTER = 0.5 * BATCHES_PER_SECOND
const ANSWERED_AFTER = 17.5 * BATCHES_PER_SECOND

const WARM_UP_SECONDS = 120
const SECONDS = 300
const MOST_NOTES = 500

export const notes: CapacityRole = {
  name: 'notes to the buddy',
  measure: async (seed) => {
    const rates: { nodes: number, rate: NoteRates }[] = []
    for (const nodes of SIZES) rates.push({ nodes, rate: await measureNotes(seed + nodes) })
    return [
      {
        role: 'notes, at 4 requests/s',
        quantity: 'messages a node, B/s',
        module: 'entry/note-receiver',
        points: rates.map(({ nodes, rate }) => ({ nodes, value: 2 * (rate.bytes + rate.batches * OPEN_CONNECTION_PACKET_BYTES) }))
      },
      {
        role: 'notes, at 4 requests/s',
        quantity: 'processor time a node, us/s',
        module: 'entry/note-receiver',
        points: rates.map(({ nodes, rate }) => ({ nodes, value: rate.processorMicroseconds }))
      }
    ]
  }
}

/**
 * Five minutes of a home's notes, without the pauses between the batches.
 *
 * @example
 * const { bytes } = await measureNotes(1)
 */
export async function measureNotes (seed: number): Promise<NoteRates> {
  const keeper = createNoteReceiver()
  const peer = await listenAsPeer({ notes: { receive: (batch) => ({ complete: keeper.receive(batch, 0) }) } })
  const counted = createCountedConnections(1)
  const client = createPeers(counted.connections, PEER_KEY).at(peer.address)
  const home = createHome(seed)
  try {
    await sendFor(WARM_UP_SECONDS, home, client)
    return await measureSends(counted, home, client)
  } finally {
    await counted.connections.destroy()
    await peer.close()
  }
}

async function measureSends (counted: CountedConnections, home: Home, client: PeerClient): Promise<NoteRates> {
  const bytes = counted.bytes()
  const processor = process.cpuUsage()
  const batches = await sendFor(SECONDS, home, client)
  const used = process.cpuUsage(processor)
  return {
    batches: batches / SECONDS,
    bytes: (counted.bytes() - bytes) / SECONDS,
    processorMicroseconds: (used.user + used.system) / SECONDS
  }
}

/** @returns batches sent */
async function sendFor (seconds: number, home: Home, client: PeerClient): Promise<number> {
  let sent = 0
  for (let turn = 0; turn < seconds * BATCHES_PER_SECOND; turn += 1) {
    home.step()
    const batch = home.writer.next(PEER, MOST_NOTES)
    if (batch === undefined) continue
    await client.notes.receive.mutate(batch)
    sent += 1
  }
  return sent
}

interface Home {
  readonly writer: NoteWriter
  /** What happens in a quarter of a second. */
  step (): void
}

function createHome (seed: number): Home {
  const writer = createNoteWriter(HOME)
  const random = createRandom(seed)
  const open: { note: OpenNote, since: number }[] = []
  let turn = 0
  let nextArrival = 0

  function arrive (): void {
    while (nextArrival <= turn) {
      const note = newNote()
      open.push({ note, since: turn })
      writer.open(note)
      nextArrival -= Math.log(1 - random.fraction()) * BATCHES_PER_SECOND / REQUESTS_PER_SECOND
    }
  }

  return {
    writer,
    step: () => {
      turn += 1
      for (const { note, since } of open) if (turn - since === NAMED_AFTER) writer.open(named(note))
      while (open[0] !== undefined && turn - open[0].since >= ANSWERED_AFTER) writer.closed(open.shift()!.note.id)
      arrive()
    }
  }
}

function newNote (): OpenNote {
  const id = requestIdFor(HOME, randomBytes(16).toString('base64url'))
  return {
    id,
    organisation: organisationNameSchema.parse('tejo'),
    class: classNameSchema.parse('service-plan'),
    idempotent: true,
    fingerprint: sha256(id),
    offset: 0
  }
}

function named (note: OpenNote): OpenNote {
  return { ...note, upstream: upstreamNameSchema.parse('engine-0123-4567'), handle: '01234567-89ab-cdef-0123-456789abcdef' }
}
