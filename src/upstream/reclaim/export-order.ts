/**
 * Order of the exports of one instance. They share one link and one deadline, so each runs alone and
 * at the full rate: what is begun gets done, where fair sharing lets all of them miss.
 */
import type { ExportCandidate } from './types.js'

/** Ways to order exports. */
export type ExportOrder = 'saved-per-second' | 'first-in-first-out' | 'smallest-first' | 'largest-first'

/**
 * Sorts exports. Streams that only an export can save come first whatever the order, equal ones by
 * the least slack and then by id, so that the result does not depend on the order of the input.
 *
 * @example
 * orderExports(candidates, 'saved-per-second')[0]?.id
 */
export function orderExports (candidates: readonly ExportCandidate[], order: ExportOrder): readonly ExportCandidate[] {
  if (order === 'first-in-first-out') return candidates
  return [...candidates].sort((left, right) =>
    Number(right.required) - Number(left.required) ||
    worth(right, order) - worth(left, order) ||
    left.slack - right.slack ||
    (left.id < right.id ? -1 : 1))
}

function worth (candidate: ExportCandidate, order: ExportOrder): number {
  switch (order) {
    case 'saved-per-second': return candidate.saved / candidate.duration
    case 'largest-first': return candidate.tokens
    case 'smallest-first': return -candidate.tokens
    case 'first-in-first-out': return 0
  }
}
