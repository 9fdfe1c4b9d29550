/** Straight line through measured points, with the error that the points show. */

/** One measurement at a size of the fleet. */
export interface Point {
  readonly nodes: number
  readonly value: number
}

/** `value = base + slope * nodes`. */
export interface Fit {
  readonly base: number
  readonly slope: number
  /** Root of the mean squared distance of the points from the line, in the value's unit. */
  readonly error: number
}

/**
 * Least squares.
 *
 * @param points at least two sizes
 * @example
 * fitLine([{ nodes: 8, value: 10 }, { nodes: 40, value: 42 }]).slope // 1
 */
export function fitLine (points: readonly Point[]): Fit {
  const count = points.length
  const meanNodes = points.reduce((sum, point) => sum + point.nodes, 0) / count
  const meanValue = points.reduce((sum, point) => sum + point.value, 0) / count
  const spread = points.reduce((sum, point) => sum + (point.nodes - meanNodes) ** 2, 0)
  const together = points.reduce((sum, point) => sum + (point.nodes - meanNodes) * (point.value - meanValue), 0)
  const slope = together / spread
  const base = meanValue - slope * meanNodes
  const squares = points.reduce((sum, point) => sum + (point.value - base - slope * point.nodes) ** 2, 0)
  return { base, slope, error: Math.sqrt(squares / count) }
}

/**
 * Value of a line at a size.
 *
 * @example
 * valueAt(fit, 370)
 */
export function valueAt (fit: Fit, nodes: number): number {
  return fit.base + fit.slope * nodes
}
