/** Lookup of routes, keys and services of one configuration. */
import type { Organisation, Route, RoutingConfiguration, Service } from './types.js'

/** A configuration, indexed. */
export interface RouteTable {
  readonly configuration: RoutingConfiguration
  /** The route with the longest prefix that begins the path, among those of the host. */
  route (host: string, path: string): Route | undefined
  service (name: string): Service | undefined
  /** Whether requests of routes that are not anonymous need a key. */
  readonly needsKeys: boolean
  organisation (key: string): Organisation | undefined
}

/**
 * @example
 * createRouteTable(configuration).route('api.example', '/plans/7?x=1')?.name
 */
export function createRouteTable (configuration: RoutingConfiguration): RouteTable {
  const hosts = new Map<string, Map<string, Route>>()
  for (const route of configuration.routes) {
    const prefixes = hosts.get(route.host) ?? new Map<string, Route>()
    prefixes.set(route.prefix, route)
    hosts.set(route.host, prefixes)
  }
  const services = new Map(configuration.services.map((service) => [service.name, service]))
  const organisations = new Map<string, Organisation>()
  for (const organisation of configuration.organisations ?? []) {
    for (const key of organisation.keys) organisations.set(key, organisation)
  }
  return {
    configuration,
    route: (host, path) => findRoute(hosts.get(hostName(host)), withoutQuery(path)),
    service: (name) => services.get(name),
    needsKeys: configuration.organisations !== undefined,
    organisation: (key) => organisations.get(key)
  }
}

/**
 * Whether a configuration takes the place of the one in force: only a higher version does, so that a
 * late answer of the store or of a peer never brings an older one back.
 *
 * @example
 * supersedes(7, undefined) // true
 * supersedes(6, 7) // false
 */
export function supersedes (version: number, inForce: number | undefined): boolean {
  return inForce === undefined || version > inForce
}

/** Walks from the whole path towards the root, one slash at a time. */
function findRoute (prefixes: Map<string, Route> | undefined, path: string): Route | undefined {
  if (prefixes === undefined) return undefined
  for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
    const route = prefixes.get(path.slice(0, end + 1))
    if (route !== undefined) return route
  }
  return undefined
}

/** Host names are compared without port and case (RFC 9110, 4.2.3). */
function hostName (host: string): string {
  const colon = host.indexOf(':')
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}

function withoutQuery (path: string): string {
  const mark = path.indexOf('?')
  return mark < 0 ? path : path.slice(0, mark)
}
