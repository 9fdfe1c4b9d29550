/** A stable hash for spreading choices over nodes that do not talk to each other. */

const OFFSET_BASIS = 0x811c9dc5
const PRIME = 0x01000193

/**
 * FNV-1a with a final mix, 32 bits. Not for security.
 *
 * @example
 * hashText('engine-1') === hashText('engine-1') // on every node
 */
export function hashText (text: string): number {
  let hash = OFFSET_BASIS
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), PRIME)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
