/** Estimated token count of a prompt, and chained hashes of its leading blocks, by which engines cache it. */
import { createHash } from 'node:crypto'
import type { ChatMessage } from '../request/index.js'

/** Number of characters in a block, about 64 tokens. */
export const BLOCK_CHARACTERS = 256

/** Average number of characters in a token. */
const CHARACTERS_PER_TOKEN = 4

/** Maximum number of blocks that are hashed. Later blocks rarely make a difference in the choice of an upstream. */
const MAX_BLOCKS = 256

/** Number of hexadecimal digits that are kept of a hash. */
const HASH_LENGTH = 16

/**
 * Estimates the number of tokens in a prompt.
 *
 * @example
 * promptTokens([{ role: 'user', content: 'Which resin?' }]) // 3
 */
export function promptTokens (messages: readonly ChatMessage[]): number {
  return messages.reduce((sum, message) => sum + Math.ceil(message.content.length / CHARACTERS_PER_TOKEN), 0)
}

/**
 * Hashes of a prompt's leading complete blocks, shortest prefix first. Each hash also covers all blocks before it, so equal
 * hashes mean equal prefixes.
 *
 * @param adapter adapter that the prompt is computed with, which has a cache of its own
 * @example
 * prefixBlocks(messages, undefined)[0] // equal for prompts with equal first 256 characters
 */
export function prefixBlocks (messages: readonly ChatMessage[], adapter: string | undefined): string[] {
  const text = messages.map((message) => `${message.role}:${message.content}\n`).join('')
  const count = Math.min(MAX_BLOCKS, Math.floor(text.length / BLOCK_CHARACTERS))
  const blocks: string[] = []
  let previous = adapter ?? ''
  for (let index = 0; index < count; index += 1) {
    const block = text.slice(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS)
    previous = createHash('sha256').update(previous).update(block).digest('hex').slice(0, HASH_LENGTH)
    blocks.push(previous)
  }
  return blocks
}
