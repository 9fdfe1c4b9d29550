/** Fingerprint of a request by what callers repeat: its path, its organisation and its body, but not its id. */
import { createHash } from 'node:crypto'

/** Characters of the digest that are kept: 96 bits, so that no two of a day's requests meet. */
const LENGTH = 16

/**
 * @example
 * fingerprintOf('/plans/7', 'hillside', body)
 */
export function fingerprintOf (path: string, organisation: string | undefined, body: Buffer | undefined): string {
  const hash = createHash('sha256').update(path).update('\n').update(organisation ?? '').update('\n')
  if (body !== undefined) hash.update(body)
  return hash.digest('base64url').slice(0, LENGTH)
}
