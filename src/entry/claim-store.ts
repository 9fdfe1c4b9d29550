/**
 * Claims that one node makes in the key-value service.
 *
 * Each shard has at most one write in progress. Claims that arrive during a write are batched into the next write, so the
 * batch size adapts to the latency of the service.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { MINUTE } from '../clock.js'
import type { KeyValue, KeyValueEntry, SwapResult } from '../protocols/key-value.js'
import { CLAIM_SHARDS, mergeClaims, shardKey, shardOf, shardValueSchema } from '../request/index.js'
import type { Claim, ClaimResult, WantedClaim } from '../request/index.js'
import { ServingError, toServingError } from '../verdict.js'

/** Claims idempotency keys for the requests of one node. */
export interface ClaimStore {
  /**
   * Claims a key. The request id must already be in the home table, because another node that reads the claim looks up
   * the request by this id.
   *
   * @throws ServingError `platform-unavailable` with verdict `not-run` if the service could not decide. The claim may
   *   exist nevertheless, so the home must record the id as refused.
   */
  claim (wanted: WantedClaim): Promise<ClaimResult>
  statistics (): ClaimStatistics
}

/** Counters since the start of the process. */
export interface ClaimStatistics {
  readonly claims: number
  readonly writes: number
  readonly reads: number
  /** Writes that failed because another node had written the shard. */
  readonly conflicts: number
}

/** Options of {@link createClaimStore}. */
export interface ClaimStoreOptions {
  readonly keyValue: KeyValue
  readonly clock: Clock
  readonly signal: AbortSignal
  /** Number of shards. Defaults to {@link CLAIM_SHARDS}. */
  readonly shards?: number
  /** Minimum time for which a claim is kept. Defaults to 30 minutes. */
  readonly retention?: Milliseconds
  /** Mean time between the starts of two writes of this node. See {@link writePause}. No pause if omitted. */
  readonly pause?: () => Milliseconds
}

/** A claim that waits for a write. */
interface PendingClaim {
  readonly wanted: WantedClaim
  readonly settle: (result: ClaimResult) => void
  readonly fail: (error: ServingError) => void
}

interface Shard {
  readonly key: string
  waiting: PendingClaim[]
  writing: boolean
  /** Last known content of the shard. Undefined before the first read and after a write with unknown outcome. */
  seen: { revision: number, claims: readonly Claim[] } | undefined
  /**
   * Whether another node wrote the shard between the last two writes of this node. The shard is then read before the next
   * write, because a read costs less than a failed write.
   */
  contended: boolean
  /** Time on the monotonic clock at which this process first saw each claim, by request id. */
  readonly firstSeen: Map<string, Milliseconds>
}

const RETENTION: Milliseconds = 30 * MINUTE

/** Maximum number of claims in one write. */
const MAX_BATCH_SIZE = 1_000

/** Maximum number of attempts to merge and write a batch before it is refused. */
const MAX_ROUNDS = 8

/** Maximum idle time for which a node may catch up on writes without a pause. */
const IDLE_CREDIT: Milliseconds = 400

/** Writes per second that all nodes together may spend on claims. The service handles several hundred. */
const WRITES_PER_SECOND = 200

/**
 * Pause between two writes of one node with which all nodes together stay within the write rate for claims.
 *
 * @param writers number of nodes that write claims
 * @example
 * writePause(8) // 40
 */
export function writePause (writers: number): Milliseconds {
  return writers * 1_000 / WRITES_PER_SECOND
}

/**
 * Creates the claim store of a node.
 *
 * @example
 * const claims = createClaimStore({ keyValue, clock, signal, pause: () => writePause(nodes) })
 * const result = await claims.claim({ key, id, fingerprint })
 */
export function createClaimStore (options: ClaimStoreOptions): ClaimStore {
  const { keyValue, clock, signal, retention = RETENTION, pause = () => 0 } = options
  const shards = Array.from({ length: options.shards ?? CLAIM_SHARDS }, (_, index) => createShard(index))
  const counts = { claims: 0, writes: 0, reads: 0, conflicts: 0 }
  let nextWriteAt = -Infinity

  async function writePending (shard: Shard): Promise<void> {
    if (shard.writing) return
    shard.writing = true
    while (shard.waiting.length > 0) {
      const batch = await nextBatch(shard)
      await commit(shard, batch).catch((error) => rejectBatch(batch, error))
    }
    shard.writing = false
  }

  async function nextBatch (shard: Shard): Promise<PendingClaim[]> {
    await waitForTurn()
    return shard.waiting.splice(0, MAX_BATCH_SIZE)
  }

  /** Waits until the write rate allows the next write of this node. */
  async function waitForTurn (): Promise<void> {
    const now = clock.now()
    const start = Math.max(now, nextWriteAt)
    nextWriteAt = Math.max(nextWriteAt, now - IDLE_CREDIT) + pause()
    if (start > now) await clock.sleep(start - now, signal).catch(() => {})
  }

  async function commit (shard: Shard, batch: readonly PendingClaim[]): Promise<void> {
    const wanted = batch.map((waiting) => waiting.wanted)
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      const known = round === 0 && shard.contended ? undefined : shard.seen
      const seen = known ?? await readShard(shard)
      const merged = mergeClaims(seen.claims, wanted, expiredKeys(shard))
      if (merged.claims === undefined || await writeShard(shard, seen.revision, merged.claims)) {
        batch.forEach((waiting, index) => waiting.settle(merged.results[index] as ClaimResult))
        return
      }
    }
    throw new ServingError('too many nodes write claims at once', { code: 'platform-unavailable', verdict: 'not-run' })
  }

  async function readShard (shard: Shard): Promise<NonNullable<Shard['seen']>> {
    counts.reads += 1
    const before = shard.seen?.revision
    const entry = await keyValue.get(shard.key, signal)
    shard.contended = before !== undefined && before !== (entry?.revision ?? 0)
    return recordEntry(shard, entry)
  }

  /**
   * Writes the shard if it still has the expected revision.
   *
   * Failure guarded against: the service executes the write but its reply is lost. The node could then mistake its own
   * claim for another node's, or dispatch the request without a claim. A write with unknown outcome therefore decides
   * nothing, and the shard is read and merged again. If the write took effect, the node finds its own id. If the write is
   * still in transit, the next write expects the same revision, so only one of the two can succeed.
   *
   * @returns false if the shard must be read and merged again
   */
  async function writeShard (shard: Shard, revision: number, claims: readonly Claim[]): Promise<boolean> {
    counts.writes += 1
    shard.seen = undefined
    const result = await swap(shard, revision, claims)
    if (result === undefined) return false
    if (result.kind === 'conflict') {
      counts.conflicts += 1
      shard.contended = true
      recordEntry(shard, result.current)
      return false
    }
    recordClaims(shard, result.revision, claims)
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

  function recordEntry (shard: Shard, entry: KeyValueEntry | undefined): NonNullable<Shard['seen']> {
    if (entry === undefined) return recordClaims(shard, 0, [])
    return recordClaims(shard, entry.revision, shardValueSchema.parse(JSON.parse(entry.value)).claims)
  }

  function recordClaims (shard: Shard, revision: number, claims: readonly Claim[]): NonNullable<Shard['seen']> {
    const now = clock.now()
    const present = new Set(claims.map((claim) => claim.id))
    for (const id of shard.firstSeen.keys()) if (!present.has(id as Claim['id'])) shard.firstSeen.delete(id)
    for (const claim of claims) if (!shard.firstSeen.has(claim.id)) shard.firstSeen.set(claim.id, now)
    shard.seen = { revision, claims }
    return shard.seen
  }

  /**
   * Returns the keys of claims that may be dropped.
   *
   * Failure guarded against: the wall clock of a node jumps ahead and the node drops recent claims, so that a request
   * sent again with the same key is executed twice. Only a process that has known a claim for the whole retention time on
   * its own monotonic clock drops it. Any other process keeps it longer.
   */
  function expiredKeys (shard: Shard): Set<string> {
    const before = clock.now() - retention
    const expired = (shard.seen?.claims ?? []).filter((claim) => (shard.firstSeen.get(claim.id) ?? Infinity) <= before)
    return new Set(expired.map((claim) => claim.key))
  }

  return {
    claim: (wanted) => new Promise((resolve, reject) => {
      counts.claims += 1
      const shard = shards[shardOf(wanted.key, shards.length)] as Shard
      shard.waiting.push({ wanted, settle: resolve, fail: reject })
      writePending(shard).catch(reject)
    }),
    statistics: () => ({ ...counts })
  }
}

/** Rejects all claims of a batch as not run. No claim of the batch was reported as won, so no request was dispatched. */
function rejectBatch (batch: readonly PendingClaim[], cause: unknown): void {
  const failure = new ServingError('the key cannot be claimed now', { code: 'platform-unavailable', verdict: 'not-run', retryAfter: 1_000, cause })
  for (const waiting of batch) waiting.fail(failure)
}

function createShard (index: number): Shard {
  return { key: shardKey(index), waiting: [], writing: false, seen: undefined, contended: false, firstSeen: new Map() }
}
