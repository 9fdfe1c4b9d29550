/** Formatting of the figures of a report. Tables, the report page and sentences share it, so that all of them agree. */
import type { Milliseconds } from '../clock.js'

const THOUSANDS = /\B(?=(\d{3})+(?!\d))/g

/** Reasons of refusals by failure code. */
const REFUSALS: Readonly<Record<string, string>> = {
  overloaded: 'too busy to meet the target',
  'organisation-limit': 'over the organisation\'s limit',
  'no-upstream': 'no upstream was live',
  'no-configuration': 'no configuration was known',
  stopping: 'the node was stopping',
  quarantined: 'the request had crashed upstreams',
  'invalid-request': 'the request was malformed',
  'platform-unavailable': 'the platform did not answer'
}

/**
 * Formats a count with thousands separators.
 *
 * @example
 * countText(12345) // '12,345'
 */
export function countText (count: number): string {
  return String(Math.round(count)).replace(THOUSANDS, ',')
}

/**
 * Formats a number of requests.
 *
 * @example
 * requestsText(1) // '1 request'
 */
export function requestsText (count: number): string {
  return `${countText(count)} ${count === 1 ? 'request' : 'requests'}`
}

/**
 * Formats a duration in ms, s or min.
 *
 * @example
 * durationText(1_530) // '1.53 s'
 */
export function durationText (duration: Milliseconds): string {
  if (duration < 100) return `${rounded(duration, 1)} ms`
  if (duration < 1_000) return `${Math.round(duration)} ms`
  if (duration < 120_000) return `${rounded(duration / 1_000, 2)} s`
  return `${rounded(duration / 60_000, 1)} min`
}

/**
 * Formats a fraction as a percentage. A fraction below 1 is never rounded up to 100%.
 *
 * @example
 * percentText(0.99996) // '99.99%'
 */
export function percentText (share: number): string {
  const hundredths = share < 1 ? Math.min(Math.round(share * 10_000), 9_999) : 10_000
  return `${hundredths / 100}%`
}

/**
 * Formats an amount of money. Amounts of 100 and more are rounded to whole units.
 *
 * @example
 * moneyText(3.14159) // '3.14'
 */
export function moneyText (amount: number): string {
  return amount >= 100 ? countText(amount) : amount.toFixed(2)
}

/**
 * Formats a wall time in UTC, to the second.
 *
 * @example
 * timeText(0) // '1970-01-01 00:00:00 UTC'
 */
export function timeText (wall: Milliseconds): string {
  return `${new Date(wall).toISOString().slice(0, 19).replace('T', ' ')} UTC`
}

/**
 * Describes a failure code as the reason of a refusal. Unknown codes are returned unchanged.
 *
 * @example
 * refusalText('overloaded') // 'too busy to meet the target'
 */
export function refusalText (code: string): string {
  return REFUSALS[code] ?? code
}

function rounded (value: number, digits: number): string {
  return String(Number(value.toFixed(digits)))
}
