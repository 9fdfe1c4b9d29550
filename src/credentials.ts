/** Bearer keys. Only their hashes are stored, and hashes are compared in constant time. */
import { createHash, timingSafeEqual } from 'node:crypto'

const BEARER_HEADER = /^Bearer ([\x21-\x7e]{1,512})$/i

/**
 * Computes the SHA-256 hash of a text.
 *
 * @returns the hash in hexadecimal
 *
 * @example
 * sha256('secret').length // 64
 */
export function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/**
 * Compares two hexadecimal hashes in constant time, so that the duration does not reveal where they differ.
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
 * Extracts the key from an `Authorization: Bearer` header (RFC 6750).
 *
 * @returns the key, or undefined if the header is missing or malformed
 * @example
 * bearerKey('Bearer abc') // 'abc'
 */
export function bearerKey (header: string | undefined): string | undefined {
  return BEARER_HEADER.exec(header ?? '')?.[1]
}
