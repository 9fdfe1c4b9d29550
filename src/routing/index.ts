/** Configuration of routes, services and organisations, and the lookups that forwarding needs. */
export type { CallerLimits, Destination, Organisation, Quota, RequestKind, Route, RoutingConfiguration, ScalingConfiguration, Service } from './types.js'
export { createRouteHistory } from './history.js'
export type { RouteHistory } from './history.js'
export { createRouteTable, supersedes } from './table.js'
export type { RouteTable } from './table.js'
export { chooseService } from './split.js'
