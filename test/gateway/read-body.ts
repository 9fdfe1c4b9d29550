/** Reads the bodies of answers for tests. */
import type { UpstreamBody } from '../../src/gateway/upstream-body.js'

/**
 * Reads a whole body as text.
 *
 * @example
 * assert.equal(await readText(answer.body), 'answer')
 */
export async function readText (body: UpstreamBody): Promise<string> {
  const chunks: Buffer[] = []
  await body.read((chunk) => { chunks.push(chunk) })
  return Buffer.concat(chunks).toString('utf8')
}
