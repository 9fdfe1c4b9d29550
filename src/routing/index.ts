/** Routes, services and organisations that operators configured for forwarded requests. */
export type { CallerLimits, Destination, Organisation, Quota, RequestKind, Route, RoutingConfiguration, ScalingFacts, Service } from './types.js'
export { createRouteTable, supersedes } from './table.js'
export type { RouteTable } from './table.js'
export { chooseService } from './split.js'
