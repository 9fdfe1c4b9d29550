/** Descriptions of the facts of a request, shown to operators. */
import type { Outcome } from '../request/index.js'
import type { Fact } from './fact.js'
import { countText, durationText, refusalText } from './wording.js'

/**
 * Describes one fact in words.
 *
 * @example
 * describeFact({ kind: 'accepted' }) // 'accepted'
 */
export function describeFact (fact: Fact): string {
  switch (fact.kind) {
    case 'accepted': return 'accepted'
    case 'refused': return `refused, not run: ${refusalText(fact.code)}${fact.retryAfter > 0 ? `; may be sent again in ${durationText(fact.retryAfter)}` : ''}`
    case 'dispatched': return `attempt ${fact.attempt} sent to ${fact.upstream}: ${fact.reason}`
    case 'first-token': return `first token from ${fact.upstream}`
    case 'attempt-failed': return `attempt at ${fact.upstream} failed (${verdictText(fact.verdict)}): ${fact.message}`
    case 'moved-cache': return `moved from ${fact.from} to ${fact.to} with its cache after ${countText(fact.tokens)} tokens`
    case 'handed-over': return `handed over to ${fact.to}`
    case 'taken-over': return `taken over from ${fact.from}`
    case 'attached': return `a reader attached at token ${countText(fact.offset)}`
    case 'ended': return `ended: ${outcomeText(fact.outcome)}`
  }
}

function outcomeText (outcome: Outcome): string {
  switch (outcome.kind) {
    case 'served': return outcome.late ? 'served whole, later than its target' : 'served whole, within its target'
    case 'refused': return `refused, not run: ${refusalText(outcome.code)}`
    case 'lost': return `lost (${verdictText(outcome.verdict)})`
    case 'unknown': return 'unknown: nobody can tell whether it ran'
  }
}

function verdictText (verdict: 'not-run' | 'may-have-run' | 'ran'): string {
  switch (verdict) {
    case 'not-run': return 'not run'
    case 'may-have-run': return 'may have run'
    case 'ran': return 'ran'
  }
}
