/**
 * Rendezvous hashing (highest random weight): every node ranks the same candidates the same way, so
 * who watches, who answers an organisation and who is a buddy needs no election, and a node that
 * comes or goes moves only its own places.
 */
import type { FailureDomain, Incarnation } from '../identifiers.js'

/** What is ranked. */
export interface Candidate {
  readonly incarnation: Incarnation
  readonly failureDomain: FailureDomain
}

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Candidates for a key, best first.
 *
 * @example
 * rank('organisation/hillside', nodes)[0] // the same on every node
 */
export function rank<T extends Candidate> (key: string, candidates: readonly T[]): T[] {
  const scored = candidates.map((candidate) => ({ candidate, score: score(key, candidate.incarnation) }))
  scored.sort((left, right) => right.score - left.score || compare(left.candidate.incarnation, right.candidate.incarnation))
  return scored.map((item) => item.candidate)
}

/**
 * The best candidates for a key, taken from the failure domains in turn, so that losing one domain
 * leaves the others' share.
 *
 * @param count most candidates to take
 * @example
 * pickSpread('organisation/hillside', nodes, 4) // from three domains: 2 + 1 + 1
 */
export function pickSpread<T extends Candidate> (key: string, candidates: readonly T[], count: number): T[] {
  const queues = [...groupByDomain(rank(key, candidates)).values()]
  const picked: T[] = []
  for (let turn = 0; picked.length < Math.min(count, candidates.length); turn += 1) {
    const layer = queues.flatMap((queue) => queue.slice(turn, turn + 1))
    picked.push(...layer.slice(0, count - picked.length))
  }
  return picked
}

/**
 * The best candidates of each failure domain.
 *
 * @example
 * pickPerDomain('watch', nodes, 2)
 */
export function pickPerDomain<T extends Candidate> (key: string, candidates: readonly T[], perDomain: number): T[] {
  return [...groupByDomain(rank(key, candidates)).values()].flatMap((queue) => queue.slice(0, perDomain))
}

/**
 * Pseudorandom weight of a candidate for a key: FNV-1a with a final mix, since FNV alone leaves
 * names that differ in the last letter close together.
 *
 * @returns an unsigned 32-bit integer
 * @example
 * score('watch', incarnation)
 */
export function score (key: string, name: string): number {
  let hash = FNV_OFFSET
  for (const text of [key, '/', name]) {
    for (let index = 0; index < text.length; index += 1) {
      hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
    }
  }
  return mix(hash)
}

function mix (hash: number): number {
  let mixed = hash ^ (hash >>> 16)
  mixed = Math.imul(mixed, 0x85ebca6b)
  mixed ^= mixed >>> 13
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

function groupByDomain<T extends Candidate> (ranked: readonly T[]): Map<FailureDomain, T[]> {
  const groups = new Map<FailureDomain, T[]>()
  for (const candidate of ranked) {
    const group = groups.get(candidate.failureDomain) ?? []
    group.push(candidate)
    groups.set(candidate.failureDomain, group)
  }
  return groups
}

function compare (left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}
