/**
 * Rendezvous hashing (highest random weight).
 *
 * Every node ranks the same candidates in the same order, so watchers, the nodes of an organisation and successors are
 * determined without an election. A node that joins or leaves changes only its own assignments.
 */
/** A node that is ranked. */
export interface RankCandidate {
  readonly incarnation: string
  readonly failureDomain: string
}

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Ranks the candidates for a key, best first.
 *
 * @example
 * rank('organisation/hillside', nodes)[0] // the same on every node
 */
export function rank<T extends RankCandidate> (key: string, candidates: readonly T[]): T[] {
  const scored = candidates.map((candidate) => ({ candidate, score: score(key, candidate.incarnation) }))
  scored.sort((left, right) => right.score - left.score || compare(left.candidate.incarnation, right.candidate.incarnation))
  return scored.map((item) => item.candidate)
}

/**
 * Selects the best candidates for a key from the failure domains in turn. If a failure domain is lost, the candidates in
 * the others remain.
 *
 * @param count maximum number of candidates
 * @example
 * pickAcrossDomains('organisation/hillside', nodes, 4) // from three domains: 2 + 1 + 1
 */
export function pickAcrossDomains<T extends RankCandidate> (key: string, candidates: readonly T[], count: number): T[] {
  const queues = [...groupByDomain(rank(key, candidates)).values()]
  const picked: T[] = []
  for (let round = 0; picked.length < Math.min(count, candidates.length); round += 1) {
    const layer = queues.flatMap((queue) => queue.slice(round, round + 1))
    picked.push(...layer.slice(0, count - picked.length))
  }
  return picked
}

/**
 * Selects the best candidates for a key in each failure domain.
 *
 * @param perDomain maximum number of candidates in each failure domain
 * @example
 * pickPerDomain('watch', nodes, 2)
 */
export function pickPerDomain<T extends RankCandidate> (key: string, candidates: readonly T[], perDomain: number): T[] {
  return [...groupByDomain(rank(key, candidates)).values()].flatMap((queue) => queue.slice(0, perDomain))
}

/**
 * Pseudorandom weight of a candidate for a key.
 *
 * The hash is FNV-1a with a final mixing step. Without that step, names that differ only in the last letter would have
 * similar weights.
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

function groupByDomain<T extends RankCandidate> (ranked: readonly T[]): Map<string, T[]> {
  const groups = new Map<string, T[]>()
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
