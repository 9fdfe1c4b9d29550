/** Keys: only hashes are kept, and they are compared in constant time. */
import { createHash, timingSafeEqual } from 'node:crypto'

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i

/**
 * Hex SHA-256 of a text.
 *
 * @example
 * sha256('secret').length // 64
 */
export function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/**
 * Compares two hex hashes without telling by its duration where they differ.
 *
 * @example
 * equalHashes(sha256('a'), sha256('b')) // false
 */
export function equalHashes (left: string, right: string): boolean {
  const leftBytes = Buffer.from(left, 'hex')
  const rightBytes = Buffer.from(right, 'hex')
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes)
}

/**
 * Key in an `Authorization: Bearer` header (RFC 6750).
 *
 * @returns undefined when the header is missing or malformed
 * @example
 * bearerKey('Bearer abc') // 'abc'
 */
export function bearerKey (header: string | undefined): string | undefined {
  return BEARER.exec(header ?? '')?.[1]
}
