/** Lookup of routes, services and organisations in one version of the configuration. */
import type { Organisation, Route, RoutingConfiguration, Service } from './types.js'

/** An index over one version of the configuration. */
export interface RouteTable {
  readonly configuration: RoutingConfiguration
  /** The route of the host with the longest prefix of the path. Undefined if no route matches. */
  route (host: string, path: string): Route | undefined
  service (name: string): Service | undefined
  /** Whether requests need an API key, except on anonymous routes. */
  readonly needsKeys: boolean
  /** The organisation that owns the API key. */
  organisation (key: string): Organisation | undefined
}

/**
 * Builds the index of a configuration.
 *
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
 * Whether a received configuration replaces the current one. Only a higher version does. A delayed response of the
 * store or of another node therefore never restores an older configuration.
 *
 * @example
 * supersedes(7, undefined) // true
 * supersedes(6, 7) // false
 */
export function supersedes (version: number, currentVersion: number | undefined): boolean {
  return currentVersion === undefined || version > currentVersion
}

/** Finds the longest matching prefix by removing one path segment at a time. */
function findRoute (prefixes: Map<string, Route> | undefined, path: string): Route | undefined {
  if (prefixes === undefined) return undefined
  for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
    const route = prefixes.get(path.slice(0, end + 1))
    if (route !== undefined) return route
  }
  return undefined
}

/** Host name without its port and in lower case, for comparison (RFC 9110, 4.2.3). */
function hostName (host: string): string {
  const colon = host.indexOf(':')
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}

function withoutQuery (path: string): string {
  const queryStart = path.indexOf('?')
  return queryStart < 0 ? path : path.slice(0, queryStart)
}
