/**
 * Claims of idempotency keys that do not name a home.
 *
 * Such a key is claimed in the key-value store before its request is dispatched. The claims are spread over a few
 * keys of the store, the shards, and one write contains many claims. If two nodes receive the same key, exactly one
 * of them owns it. The other receives the owner's request id and asks that request's home.
 */
import * as z from 'zod'
import type { Incarnation, OrganisationName, RequestId } from '../identifiers.js'
import { requestIdSchema } from '../identifiers.js'
import type { RankedNode } from './hash.js'
import { hashText, rankNodes } from './hash.js'

/** The claim of one idempotency key. */
export const claimSchema = z.object({
  /** Result of {@link claimKey}. */
  key: z.string().min(1),
  /** The request that owns the key. The incarnation in this id is the node to ask. */
  id: requestIdSchema,
  /** Distinguishes a repeated request from a different request with the same key. */
  fingerprint: z.string().min(1)
})
export type Claim = z.infer<typeof claimSchema>

/** Value of one shard, oldest claim first. */
export const shardValueSchema = z.object({ claims: z.array(claimSchema) })

/** A claim to be added to a shard. */
export interface WantedClaim extends Claim {
  /**
   * The request that owns the key, if its home has proven that it was `not-run`. Its claim may be replaced, so that a
   * caller whose request was refused can use the key again. If several claims replace the same one, exactly one of
   * them succeeds.
   */
  readonly replaces?: RequestId
}

/** Result for a wanted claim. */
export type ClaimResult =
  /** The key belongs to the wanted request, which may be dispatched once. */
  | { kind: 'won' }
  /**
   * The key belongs to another request. Its home knows the answer. If the home cannot be asked, the request may have
   * run.
   */
  | { kind: 'owned', id: RequestId }
  /** The key was used with a different body. */
  | { kind: 'conflict' }
  /** The shard is full of claims that are too recent to drop. The request is refused as `not-run`. */
  | { kind: 'full' }

/** A shard after the wanted claims were added. */
export interface MergedShard {
  /** Claims to write. Undefined if nothing changes. */
  readonly claims: readonly Claim[] | undefined
  /**
   * Results in the order of the wanted claims. They are valid once the write, if there is one, is known to have
   * succeeded.
   */
  readonly results: readonly ClaimResult[]
}

/** Number of shards. With more shards, fewer writes conflict. With fewer shards, a write contains more claims. */
export const CLAIM_SHARDS = 16

/** Maximum size of a shard's value in bytes. It is below the store's limit of one megabyte. */
export const MAX_SHARD_BYTES = 900_000

const CLAIM_PREFIX = 'hornbeamgap/claims/'

/**
 * Key of a claim. It includes the organisation, so that equal keys of different organisations do not conflict.
 *
 * @param hash cryptographic hash of a text
 * @example
 * claimKey(organisation, request.headers['idempotency-key'], sha256)
 */
export function claimKey (organisation: OrganisationName, idempotencyKey: string, hash: (text: string) => string): string {
  return hash(JSON.stringify([organisation, idempotencyKey])).slice(0, 32)
}

/**
 * Number of the shard that holds a claim, starting at 0.
 *
 * @example
 * shardKey(shardOf(claim.key))
 */
export function shardOf (key: string, shards: number = CLAIM_SHARDS): number {
  return hashText(key, 0) % shards
}

/**
 * Key of a shard in the store.
 *
 * @example
 * shardKey(3) // 'hornbeamgap/claims/3'
 */
export function shardKey (shard: number): string {
  return CLAIM_PREFIX + shard
}

/**
 * Node that normally writes a shard. Claims are sent there so that one write contains the claims of many nodes.
 * Correctness does not depend on it, because every node may write every shard by compare-and-swap.
 *
 * @returns undefined if no node is live
 * @example
 * if (claimWriter(shard, nodes) !== own) forward(claim)
 */
export function claimWriter (shard: number, nodes: readonly RankedNode[]): Incarnation | undefined {
  return rankNodes(shardKey(shard), nodes).find((node) => !node.leaving)?.incarnation
}

/**
 * Adds wanted claims to a shard and drops old ones.
 *
 * @param droppable keys of claims that are known to be older than the retention period
 * @param maxBytes maximum size of the shard's value
 * @example
 * const { claims, results } = mergeClaims(current, wanted, droppable)
 */
export function mergeClaims (current: readonly Claim[], wanted: readonly WantedClaim[], droppable: ReadonlySet<string>, maxBytes: number = MAX_SHARD_BYTES): MergedShard {
  const claims = new Map(current.filter((claim) => !droppable.has(claim.key)).map((claim) => [claim.key, claim]))
  let size = sizeOf(claims.values())
  let changed = false

  function addClaim (claim: WantedClaim): ClaimResult {
    const owner = claims.get(claim.key)
    if (owner !== undefined && owner.id !== claim.replaces) return resultFor(owner, claim)
    const added = { key: claim.key, id: claim.id, fingerprint: claim.fingerprint }
    const growth = sizeOf([added]) - (owner === undefined ? 0 : sizeOf([owner]))
    if (size + growth > maxBytes) return { kind: 'full' }
    claims.delete(claim.key)
    claims.set(claim.key, added)
    size += growth
    changed = true
    return { kind: 'won' }
  }

  const results = wanted.map(addClaim)
  return { claims: changed ? [...claims.values()] : undefined, results }
}

function resultFor (owner: Claim, wanted: WantedClaim): ClaimResult {
  if (owner.id === wanted.id) return { kind: 'won' }
  if (owner.fingerprint !== wanted.fingerprint) return { kind: 'conflict' }
  return { kind: 'owned', id: owner.id }
}

/** Size of the claims as JSON in bytes. Claims contain only ASCII characters. */
function sizeOf (claims: Iterable<Claim>): number {
  let size = 0
  for (const claim of claims) size += JSON.stringify(claim).length + 1
  return size
}
