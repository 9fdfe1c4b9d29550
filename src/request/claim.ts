/**
 * Claims of bare idempotency keys. A key without a home is claimed in the key-value service before it is
 * dispatched: many claims a write, spread over a few keys of the service (shards). Of two nodes that
 * receive the same key exactly one owns it; the other is told the owner's request id and asks its home.
 */
import * as z from 'zod'
import type { Incarnation, OrganisationName, RequestId } from '../identifiers.js'
import { requestIdSchema } from '../identifiers.js'
import type { RankedNode } from './hash.js'
import { hashText, rankNodes } from './hash.js'

/** One claimed key. */
export const claimSchema = z.object({
  /** See {@link claimKey}. */
  key: z.string().min(1),
  /** The request that owns the key; its incarnation is whom to ask. */
  id: requestIdSchema,
  /** Tells a second send from a different body under the same key. */
  fingerprint: z.string().min(1)
})
export type Claim = z.infer<typeof claimSchema>

/** Value of one shard, oldest claim first. */
export const shardValueSchema = z.object({ claims: z.array(claimSchema) })

/** A claim that somebody wants. */
export interface WantedClaim extends Claim {
  /**
   * A request that owns the key and is proven `not-run` at its home: its claim may be replaced, so that a
   * caller who was refused can use its key again. Exactly one of several replacers wins.
   */
  readonly replaces?: RequestId
}

/** What became of a wanted claim. */
export type ClaimResult =
  /** The key belongs to the wanted id, which may be dispatched once. */
  | { kind: 'won' }
  /** The key belongs to another request; its home knows the answer, or it may have run. */
  | { kind: 'owned', id: RequestId }
  /** The key was used with another body. */
  | { kind: 'conflict' }
  /** The shard is full of claims that are too young to drop: refused, `not-run`. */
  | { kind: 'full' }

/** A shard with claims added. */
export interface MergedShard {
  /** Claims to write; undefined when nothing changes. */
  readonly claims: readonly Claim[] | undefined
  /** Results by position of the wanted claims. They hold once the write, if any, is known to have taken effect. */
  readonly results: readonly ClaimResult[]
}

/** Number of keys in the key-value service; more of them meet less often, fewer take more claims a write. */
export const CLAIM_SHARDS = 16

/** Largest value of a shard in bytes, under the service's bound of a megabyte. */
export const LARGEST_SHARD = 900_000

const CLAIM_PREFIX = 'hornbeamgap/claims/'

/**
 * Name of a claim: keys of different organisations never meet.
 *
 * @param hash cryptographic hash of a text
 * @example
 * claimKey(organisation, request.headers['idempotency-key'], sha256)
 */
export function claimKey (organisation: OrganisationName, idempotencyKey: string, hash: (text: string) => string): string {
  return hash(JSON.stringify([organisation, idempotencyKey])).slice(0, 32)
}

/**
 * Shard of a claim, from 0 on.
 *
 * @example
 * shardKey(shardOf(claim.key))
 */
export function shardOf (key: string, shards: number = CLAIM_SHARDS): number {
  return hashText(key, 0) % shards
}

/** @example shardKey(3) // 'hornbeamgap/claims/3' */
export function shardKey (shard: number): string {
  return CLAIM_PREFIX + shard
}

/**
 * Node that writes a shard when all is well. Sending claims there lets one write take the claims of many
 * nodes; correctness does not depend on it, since any node may write any shard by compare-and-swap.
 *
 * @returns undefined when no node is live
 * @example
 * if (claimWriter(shard, nodes) !== own) forward(claim)
 */
export function claimWriter (shard: number, nodes: readonly RankedNode[]): Incarnation | undefined {
  return rankNodes(shardKey(shard), nodes).find((node) => !node.leaving)?.incarnation
}

/**
 * Adds wanted claims to a shard and drops old ones.
 *
 * @param droppable keys of claims known to be older than the retention
 * @example
 * const { claims, results } = mergeClaims(current, wanted, droppable)
 */
export function mergeClaims (current: readonly Claim[], wanted: readonly WantedClaim[], droppable: ReadonlySet<string>, largest: number = LARGEST_SHARD): MergedShard {
  const claims = new Map(current.filter((claim) => !droppable.has(claim.key)).map((claim) => [claim.key, claim]))
  let size = sizeOf(claims.values())
  let changed = false

  function place (claim: WantedClaim): ClaimResult {
    const owner = claims.get(claim.key)
    if (owner !== undefined && owner.id !== claim.replaces) return resultFor(owner, claim)
    const added = { key: claim.key, id: claim.id, fingerprint: claim.fingerprint }
    const growth = sizeOf([added]) - (owner === undefined ? 0 : sizeOf([owner]))
    if (size + growth > largest) return { kind: 'full' }
    claims.delete(claim.key)
    claims.set(claim.key, added)
    size += growth
    changed = true
    return { kind: 'won' }
  }

  const results = wanted.map(place)
  return { claims: changed ? [...claims.values()] : undefined, results }
}

function resultFor (owner: Claim, wanted: WantedClaim): ClaimResult {
  if (owner.id === wanted.id) return { kind: 'won' }
  if (owner.fingerprint !== wanted.fingerprint) return { kind: 'conflict' }
  return { kind: 'owned', id: owner.id }
}

/** Length of the claims in JSON; they are plain ASCII. */
function sizeOf (claims: Iterable<Claim>): number {
  let size = 0
  for (const claim of claims) size += JSON.stringify(claim).length + 1
  return size
}
