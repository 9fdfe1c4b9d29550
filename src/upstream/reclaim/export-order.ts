/**
 * Order of the exports of one instance. All exports share one link and one deadline, so they run one at a time at the
 * full rate. Some of them finish in time, whereas all could miss the deadline if they shared the rate.
 */
import type { ExportCandidate } from './types.js'

/** Available export orders. */
export type ExportOrder = 'saved-per-second' | 'first-in-first-out' | 'smallest-first' | 'largest-first'

/**
 * Sorts exports. Exports that are the only way to save a stream come first in every order except
 * `first-in-first-out`, which returns the candidates unchanged. Ties are broken by slack, lowest first, and then by
 * id, so that the result does not depend on the order of the input.
 *
 * @example
 * orderExports(candidates, 'saved-per-second')[0]?.id
 */
export function orderExports (candidates: readonly ExportCandidate[], order: ExportOrder): readonly ExportCandidate[] {
  if (order === 'first-in-first-out') return candidates
  return [...candidates].sort((left, right) =>
    Number(right.required) - Number(left.required) ||
    priority(right, order) - priority(left, order) ||
    left.slack - right.slack ||
    (left.id < right.id ? -1 : 1))
}

function priority (candidate: ExportCandidate, order: ExportOrder): number {
  switch (order) {
    case 'saved-per-second': return candidate.savedTokens / candidate.duration
    case 'largest-first': return candidate.tokens
    case 'smallest-first': return -candidate.tokens
    case 'first-in-first-out': return 0
  }
}
