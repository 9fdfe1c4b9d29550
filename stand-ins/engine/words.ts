/** Deterministic answers of engine stand-ins. They depend only on the prompt and the number of tokens. */
import { createHash } from 'node:crypto'

const WORD_LENGTH = 6

/**
 * Returns the answer that every engine gives to a prompt. A caller can compare it with what it received
 * to detect truncated answers and answers to other prompts.
 *
 * @example
 * answerWords([{ role: 'user', content: 'resin?' }], 3) // three words that depend on the prompt
 */
export function answerWords (messages: unknown, maxTokens: number): string[] {
  const digest = createHash('sha256').update(JSON.stringify(messages)).digest('hex')
  const positions = digest.length - WORD_LENGTH - 2
  return Array.from({ length: maxTokens }, (_, index) => `${digest.slice(index % positions, index % positions + WORD_LENGTH)}-${index} `)
}
