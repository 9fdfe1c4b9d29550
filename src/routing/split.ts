/** Choice of a route's service where several share its requests. */
import type { Random } from '../random.js'
import type { Destination, Route } from './types.js'

/**
 * Draws a service by weight.
 *
 * @returns undefined for a route without destinations
 * @example
 * chooseService(route, random) // 'plans'
 */
export function chooseService (route: Route, random: Random): string | undefined {
  const total = route.destinations.reduce((sum, destination) => sum + destination.weight, 0)
  const first: Destination | undefined = route.destinations[0]
  if (total <= 0) return first?.service
  let left = random.fraction() * total
  for (const destination of route.destinations) {
    left -= destination.weight
    if (left < 0) return destination.service
  }
  return first?.service
}
