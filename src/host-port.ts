/** Addresses of processes as `host:port`, split and joined. */

/** Parts of an address. */
export interface HostPort {
  readonly host: string
  readonly port: number
}

/**
 * Formats an address as `host:port`.
 *
 * @example
 * addressOf({ host: '10.1.0.16', port: 8360 }) // '10.1.0.16:8360'
 */
export function addressOf ({ host, port }: HostPort): string {
  return `${host}:${port}`
}

/**
 * Splits an address. The brackets of an IPv6 address are removed.
 *
 * @param address `host:port`, whose form has been checked
 * @example
 * hostPortOf('10.1.0.16:8360') // { host: '10.1.0.16', port: 8360 }
 */
export function hostPortOf (address: string): HostPort {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator).replace(/^\[|\]$/g, ''), port: Number(address.slice(separator + 1)) }
}
