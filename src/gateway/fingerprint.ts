/**
 * Fingerprint of a request, from what stays the same when a caller repeats it: path, organisation and body, without the
 * id.
 */
import { createHash } from 'node:crypto'

/** Kept characters of the digest: 96 bits, which makes collisions within a day's requests negligible. */
const DIGEST_CHARACTERS = 16

/**
 * Computes the fingerprint of a request.
 *
 * @example
 * fingerprintOf('/plans/7', 'hillside', body)
 */
export function fingerprintOf (path: string, organisation: string | undefined, body: Buffer | undefined): string {
  const hash = createHash('sha256').update(path).update('\n').update(organisation ?? '').update('\n')
  if (body !== undefined) hash.update(body)
  return hash.digest('base64url').slice(0, DIGEST_CHARACTERS)
}
