/** Weighted choice between the services of a route that splits its traffic. */
import type { Random } from '../random.js'
import type { Destination, Route } from './types.js'

/**
 * Selects one of the route's services at random, in proportion to the weights. If all weights are 0, the first
 * service is selected.
 *
 * @returns the name of the service, or undefined for a route without destinations
 * @example
 * chooseService(route, random) // 'plans'
 */
export function chooseService (route: Route, random: Random): string | undefined {
  const total = route.destinations.reduce((sum, destination) => sum + destination.weight, 0)
  const first: Destination | undefined = route.destinations[0]
  if (total <= 0) return first?.service
  let remaining = random.fraction() * total
  for (const destination of route.destinations) {
    remaining -= destination.weight
    if (remaining < 0) return destination.service
  }
  return first?.service
}
