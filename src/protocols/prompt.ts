/** A prompt as engines cache it: estimated tokens, and chained hashes of its leading blocks. */
import { createHash } from 'node:crypto'
import type { ChatMessage } from '../request/index.js'

/** Characters of one block; about 64 tokens. */
export const BLOCK_CHARACTERS = 256

/** Characters that make up one token, on average. */
const CHARACTERS_PER_TOKEN = 4

/** Blocks that are hashed; what lies beyond them hardly decides between two upstreams. */
const MOST_BLOCKS = 256

const HASH_LENGTH = 16

/**
 * Estimated tokens of a prompt.
 *
 * @example
 * promptTokens([{ role: 'user', content: 'Which resin?' }]) // 3
 */
export function promptTokens (messages: readonly ChatMessage[]): number {
  return messages.reduce((sum, message) => sum + Math.ceil(message.content.length / CHARACTERS_PER_TOKEN), 0)
}

/**
 * Hashes of a prompt's leading whole blocks, shortest prefix first. Each hash covers everything
 * before it, so equal hashes mean equal prefixes.
 *
 * @param adapter adapter that computes the prompt; its cache is apart from others
 * @example
 * prefixBlocks(messages, undefined)[0] // equal for prompts with equal first 256 characters
 */
export function prefixBlocks (messages: readonly ChatMessage[], adapter: string | undefined): string[] {
  const text = messages.map((message) => `${message.role}:${message.content}\n`).join('')
  const count = Math.min(MOST_BLOCKS, Math.floor(text.length / BLOCK_CHARACTERS))
  const blocks: string[] = []
  let previous = adapter ?? ''
  for (let index = 0; index < count; index += 1) {
    const block = text.slice(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS)
    previous = createHash('sha256').update(previous).update(block).digest('hex').slice(0, HASH_LENGTH)
    blocks.push(previous)
  }
  return blocks
}
