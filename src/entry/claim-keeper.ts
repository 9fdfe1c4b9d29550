/**
 * Claims of one node in the key-value service: one write at a time for each shard, and all claims that
 * arrive meanwhile go into the next one, so the batch follows the service's latency.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { MINUTE } from '../clock.js'
import type { KeyValue, KeyValueEntry, SwapResult } from '../protocols/key-value.js'
import { CLAIM_SHARDS, mergeClaims, shardKey, shardOf, shardValueSchema } from '../request/index.js'
import type { Claim, ClaimResult, WantedClaim } from '../request/index.js'
import { ServingError, toServingError } from '../verdict.js'

/** Claims keys for a node. */
export interface ClaimKeeper {
  /**
   * Claims a key. The wanted id must be in the home table before, so that whoever reads the claim finds it.
   *
   * @throws ServingError `platform-unavailable`, `not-run`, when the service cannot decide. The claim may
   * exist all the same: the home must remember the id as refused.
   */
  claim (wanted: WantedClaim): Promise<ClaimResult>
  statistics (): ClaimStatistics
}

/** Counters since the start. */
export interface ClaimStatistics {
  readonly claims: number
  readonly writes: number
  readonly reads: number
  /** Writes that met another node's. */
  readonly conflicts: number
}

/** What a keeper needs. */
export interface ClaimKeeperOptions {
  readonly keyValue: KeyValue
  readonly clock: Clock
  readonly signal: AbortSignal
  readonly shards?: number
  /** A key is claimed at least this long. */
  readonly retention?: Milliseconds
  /** Mean time between the starts of two writes of this node, its share of the service's rate; see {@link writePause}. */
  readonly pause?: () => Milliseconds
}

interface Waiting {
  readonly wanted: WantedClaim
  readonly settle: (result: ClaimResult) => void
  readonly fail: (error: ServingError) => void
}

interface Shard {
  readonly key: string
  waiting: Waiting[]
  writing: boolean
  /** The shard as last seen; undefined before the first read and after a doubtful write. */
  seen: { revision: number, claims: readonly Claim[] } | undefined
  /** Others wrote it between our last two writes: reading first is cheaper than a write that fails. */
  contended: boolean
  /** When this process first saw each claim, by its own monotonic clock. */
  readonly firstSeen: Map<string, Milliseconds>
}

const RETENTION: Milliseconds = 30 * MINUTE
const LARGEST_BATCH = 1_000

/** Rounds of read and write before a batch is refused. */
const MOST_ROUNDS = 8

/** A node that has been quiet may make up for this much time at once. */
const QUIET_CREDIT: Milliseconds = 400

/** Writes a second that all nodes together spend on claims, out of the several hundred of the service. */
const WRITES_PER_SECOND = 200

/**
 * Pause between two writes of one node such that all writers together keep to the claims' share of the
 * service's rate.
 *
 * @param writers nodes that write claims
 * @example
 * writePause(8) // 40
 */
export function writePause (writers: number): Milliseconds {
  return writers * 1_000 / WRITES_PER_SECOND
}

/**
 * @example
 * const claims = createClaimKeeper({ keyValue, clock, signal, pause: () => writePause(nodes) })
 * const result = await claims.claim({ key, id, fingerprint })
 */
export function createClaimKeeper (options: ClaimKeeperOptions): ClaimKeeper {
  const { keyValue, clock, signal, retention = RETENTION, pause = () => 0 } = options
  const shards = Array.from({ length: options.shards ?? CLAIM_SHARDS }, (_, index) => createShard(index))
  const counts = { claims: 0, writes: 0, reads: 0, conflicts: 0 }
  let nextWrite = -Infinity

  async function drain (shard: Shard): Promise<void> {
    if (shard.writing) return
    shard.writing = true
    while (shard.waiting.length > 0) {
      const batch = await nextBatch(shard)
      await commit(shard, batch).catch((error) => refuse(batch, error))
    }
    shard.writing = false
  }

  async function nextBatch (shard: Shard): Promise<Waiting[]> {
    await turn()
    return shard.waiting.splice(0, LARGEST_BATCH)
  }

  /** Waits until this node may write again. */
  async function turn (): Promise<void> {
    const now = clock.now()
    const start = Math.max(now, nextWrite)
    nextWrite = Math.max(nextWrite, now - QUIET_CREDIT) + pause()
    if (start > now) await clock.sleep(start - now, signal).catch(() => {})
  }

  async function commit (shard: Shard, batch: readonly Waiting[]): Promise<void> {
    const wanted = batch.map((waiting) => waiting.wanted)
    for (let round = 0; round < MOST_ROUNDS; round += 1) {
      const known = round === 0 && shard.contended ? undefined : shard.seen
      const seen = known ?? await read(shard)
      const merged = mergeClaims(seen.claims, wanted, droppable(shard))
      if (merged.claims === undefined || await write(shard, seen.revision, merged.claims)) {
        batch.forEach((waiting, index) => waiting.settle(merged.results[index] as ClaimResult))
        return
      }
    }
    throw new ServingError('too many nodes write claims at once', { code: 'platform-unavailable', verdict: 'not-run' })
  }

  async function read (shard: Shard): Promise<NonNullable<Shard['seen']>> {
    counts.reads += 1
    const before = shard.seen?.revision
    const entry = await keyValue.get(shard.key, signal)
    shard.contended = before !== undefined && before !== (entry?.revision ?? 0)
    return remember(shard, entry)
  }

  /**
   * Writes the shard if nobody else has since.
   *
   * Failure guarded against: the service takes the write but its reply is lost, and the node takes its own
   * claim for another's or dispatches without one. A doubtful write decides nothing: the shard is read and
   * merged again, where the node finds its own id if the write took effect; if it is still under way, the
   * next write competes with it by the same revision and only one of the two can succeed.
   *
   * @returns false when the shard has to be read and merged again
   */
  async function write (shard: Shard, revision: number, claims: readonly Claim[]): Promise<boolean> {
    counts.writes += 1
    shard.seen = undefined
    const result = await swap(shard, revision, claims)
    if (result === undefined) return false
    if (result.kind === 'conflict') {
      counts.conflicts += 1
      shard.contended = true
      remember(shard, result.current)
      return false
    }
    see(shard, result.revision, claims)
    return true
  }

  async function swap (shard: Shard, revision: number, claims: readonly Claim[]): Promise<SwapResult | undefined> {
    try {
      return await keyValue.compareAndSwap(shard.key, revision, JSON.stringify({ claims }), { signal })
    } catch (error) {
      if (toServingError(error, 'may-have-run').verdict === 'not-run') throw error
      return undefined
    }
  }

  function remember (shard: Shard, entry: KeyValueEntry | undefined): NonNullable<Shard['seen']> {
    if (entry === undefined) return see(shard, 0, [])
    return see(shard, entry.revision, shardValueSchema.parse(JSON.parse(entry.value)).claims)
  }

  function see (shard: Shard, revision: number, claims: readonly Claim[]): NonNullable<Shard['seen']> {
    const now = clock.now()
    const present = new Set(claims.map((claim) => claim.id))
    for (const id of shard.firstSeen.keys()) if (!present.has(id as Claim['id'])) shard.firstSeen.delete(id)
    for (const claim of claims) if (!shard.firstSeen.has(claim.id)) shard.firstSeen.set(claim.id, now)
    shard.seen = { revision, claims }
    return shard.seen
  }

  /**
   * Failure guarded against: a node whose wall clock jumps ahead drops young claims, and a key that is sent
   * again books twice. A claim is dropped only by a process that has itself seen it for the whole retention
   * on its monotonic clock; other processes only keep it longer.
   */
  function droppable (shard: Shard): Set<string> {
    const before = clock.now() - retention
    const old = (shard.seen?.claims ?? []).filter((claim) => (shard.firstSeen.get(claim.id) ?? Infinity) <= before)
    return new Set(old.map((claim) => claim.key))
  }

  return {
    claim: (wanted) => new Promise((resolve, reject) => {
      counts.claims += 1
      const shard = shards[shardOf(wanted.key, shards.length)] as Shard
      shard.waiting.push({ wanted, settle: resolve, fail: reject })
      drain(shard).catch(reject)
    }),
    statistics: () => ({ ...counts })
  }
}

/** Whatever failed, nothing of the batch was dispatched: no claim was reported as won. */
function refuse (batch: readonly Waiting[], cause: unknown): void {
  const failure = new ServingError('the key cannot be claimed now', { code: 'platform-unavailable', verdict: 'not-run', retryAfter: 1_000, cause })
  for (const waiting of batch) waiting.fail(failure)
}

function createShard (index: number): Shard {
  return { key: shardKey(index), waiting: [], writing: false, seen: undefined, contended: false, firstSeen: new Map() }
}
