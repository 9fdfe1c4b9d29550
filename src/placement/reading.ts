/**
 * Time that an engine takes to read a prompt, and the reading that it has before it.
 *
 * Prompts differ a hundredfold, so a count of requests says little of when a new one gets its first
 * token: one prompt of 50,000 tokens keeps an engine for longer than twenty questions.
 */
import type { Milliseconds } from '../clock.js'
import type { PromptPart } from './types.js'

/** Tokens that an engine reads in a millisecond; the users' sheets state it for their engines. */
const TOKENS_PER_MILLISECOND = 61.8

/** Attention over pairs of tokens, in milliseconds a million pairs; the same sheets' engines. */
const PER_MILLION_PAIRS: Milliseconds = 0.367

const MILLION = 1_000_000

/**
 * @param tokens to be read
 * @param cached tokens before them that are kept already
 * @example
 * readingTime(6_000, 5_000) // 114 ms
 */
export function readingTime (tokens: number, cached: number): Milliseconds {
  const pairs = tokens * (cached + tokens / 2)
  return tokens / TOKENS_PER_MILLISECOND + pairs / MILLION * PER_MILLION_PAIRS
}

/**
 * Tokens of the parts that requests share: all but the last.
 *
 * @example
 * sharedTokens([{ id: 'a', tokens: 500 }, { id: 'b', tokens: 90 }]) // 500
 */
export function sharedTokens (parts: readonly PromptPart[]): number {
  let sum = 0
  for (let index = 0; index + 1 < parts.length; index += 1) sum += parts[index]!.tokens
  return sum
}
