/**
 * Stand-in of a plain service: bookings, roster lookups, and an echo of the call. A ledger counts the
 * runs of each booking, so that a booking that ran twice is detected.
 */
import type { Clock, Milliseconds } from '../src/clock.js'
import type { UpstreamName } from '../src/identifiers.js'
import type { Random } from '../src/random.js'
import { createFaultSwitch } from './faults.js'
import type { FaultSwitch } from './faults.js'
import { serveStandIn, StandInFailure } from './http-server.js'
import type { StandInCall, StandInServer } from './http-server.js'

/** Number of runs of each booking, over all processes that share the ledger. */
export interface BookingLedger {
  /** Counts a run and returns the new number of runs of the booking. */
  run (reference: string): number
  /** Number of runs of a booking. */
  runs (reference: string): number
  /** All bookings that have run. */
  entries (): readonly BookingEntry[]
}

/** A booking and the number of its runs. */
export interface BookingEntry {
  readonly reference: string
  readonly runs: number
}

/** Faults of a plain service in addition to its network faults. All are off at the start. */
export interface PlainServiceFaults {
  /** Duration of each call. */
  duration: Milliseconds
  /** Calls run, and the connection is reset in place of the reply. */
  loseReplies: boolean
  /** Connections are reset before the call runs. */
  reset: boolean
  /** Calls are refused with verdict `not-run`. */
  refuse: boolean
  /** Calls run and are never answered. */
  silent: boolean
}

/** A running plain service. */
export interface PlainServiceStandIn extends StandInServer {
  readonly upstream: UpstreamName
  readonly faultSwitch: FaultSwitch
  readonly faults: PlainServiceFaults
  readonly ledger: BookingLedger
  /** Number of calls of any kind that have run. */
  ran (): number
  /** Number of calls in progress. */
  open (): number
  setLeaving (leaving: boolean): void
  alive (): boolean
}

/** Options of a plain service. */
export interface PlainServiceOptions {
  readonly port: number
  readonly upstream: UpstreamName
  readonly clock: Clock
  readonly random: Random
  /** Ledger that the processes of a service share. Default: a new ledger. */
  readonly ledger?: BookingLedger
  /** Duration of each call. Default 0. */
  readonly duration?: Milliseconds
}

/** Paths of non-idempotent calls, which must run at most once. */
const BOOKING_PATHS = new Set(['/bookings', '/orders', '/confirmations'])

const ROSTER_PREFIX = '/roster/'
const ECHO_PREFIX = '/echo'

/**
 * Creates an empty ledger.
 *
 * @example
 * const ledger = createBookingLedger()
 * ledger.run('visit-17') // 1
 */
export function createBookingLedger (): BookingLedger {
  const counts = new Map<string, number>()
  return {
    run: (reference) => {
      const runs = (counts.get(reference) ?? 0) + 1
      counts.set(reference, runs)
      return runs
    },
    runs: (reference) => counts.get(reference) ?? 0,
    entries: () => [...counts].map(([reference, runs]) => ({ reference, runs }))
  }
}

/**
 * Starts a plain service. `POST /bookings`, `/orders` and `/confirmations` take `{ "reference": text }`;
 * `GET /roster/<driver>` returns a roster; `/echo` and the paths below it return the call itself.
 *
 * @example
 * const service = await servePlainService({ port: 0, upstream, clock, random })
 */
export async function servePlainService (options: PlainServiceOptions): Promise<PlainServiceStandIn> {
  const { clock, upstream } = options
  const faultSwitch = createFaultSwitch(clock, options.random)
  const ledger = options.ledger ?? createBookingLedger()
  const faults: PlainServiceFaults = { duration: options.duration ?? 0, loseReplies: false, reset: false, refuse: false, silent: false }
  let alive = true
  let leaving = false
  let ran = 0
  let open = 0

  async function handle (call: StandInCall): Promise<unknown> {
    if (faults.refuse || leaving) throw new StandInFailure(503, { error: { message: leaving ? 'leaving' : 'refused', verdict: 'not-run' } })
    if (faults.reset) return reset(call)
    open += 1
    try {
      const answer = run(call)
      ran += 1
      if (faults.duration > 0) await clock.sleep(faults.duration)
      return deliver(call, answer)
    } finally {
      open -= 1
    }
  }

  function run (call: StandInCall): unknown {
    if (call.method === 'POST' && BOOKING_PATHS.has(call.path)) return book(ledger, call)
    if (call.path.startsWith(ROSTER_PREFIX)) return rosterOf(call.path.slice(ROSTER_PREFIX.length))
    if (call.path.startsWith(ECHO_PREFIX)) return echo(call)
    throw new StandInFailure(404, { error: { message: 'no such path', verdict: 'not-run' } })
  }

  function deliver (call: StandInCall, answer: unknown): unknown {
    if (faults.silent) return undefined
    return faults.loseReplies ? reset(call) : answer
  }

  const server = await serveStandIn(options.port, clock, faultSwitch, handle)
  return {
    address: server.address,
    kill: () => {
      alive = false
      return server.kill()
    },
    upstream,
    faultSwitch,
    faults,
    ledger,
    ran: () => ran,
    open: () => open,
    setLeaving: (value) => { leaving = value },
    alive: () => alive
  }
}

function book (ledger: BookingLedger, call: StandInCall): object {
  const reference: unknown = parse(call.body).reference
  if (typeof reference !== 'string' || reference === '') throw new StandInFailure(400, { error: { message: 'reference is missing', verdict: 'not-run' } })
  return { reference, state: 'confirmed', runs: ledger.run(reference) }
}

/** Derives a driver's roster from the name, so that every lookup returns the same duty. */
function rosterOf (driver: string): object {
  const seed = [...driver].reduce((sum, character) => sum + character.charCodeAt(0), 0)
  return { driver, duty: `duty-${seed % 40}`, starts: `0${4 + seed % 5}:${seed % 2 === 0 ? '00' : '30'}`, vehicle: `coach-${seed % 60}` }
}

function echo (call: StandInCall): object {
  return { method: call.method, path: call.path, query: call.query.toString(), headers: call.headers, body: call.body.toString('base64') }
}

function reset (call: StandInCall): undefined {
  call.response.socket?.resetAndDestroy()
  return undefined
}

function parse (body: Buffer): Record<string, unknown> {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    throw new StandInFailure(400, { error: { message: 'malformed JSON', verdict: 'not-run' } })
  }
}
