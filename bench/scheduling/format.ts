/** Figures as tables show them. */

/** @example percent(0.9512) // '95.1' */
export function percent (share: number): string {
  return (share * 100).toFixed(1)
}

/** @example rounded(17.61) // 17.6 */
export function rounded (value: number, digits = 1): number {
  const factor = 10 ** digits
  return Math.round(value * factor) / factor
}
