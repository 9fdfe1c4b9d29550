/** Answers of engine stand-ins: functions of the prompt alone. */
import { createHash } from 'node:crypto'

const WORD_LENGTH = 6

/**
 * The answer every engine gives to a prompt, so that any caller can tell a whole answer of its own
 * from anything else.
 *
 * @example
 * answerWords([{ role: 'user', content: 'resin?' }], 3) // three words that depend on the prompt
 */
export function answerWords (messages: unknown, maxTokens: number): string[] {
  const digest = createHash('sha256').update(JSON.stringify(messages)).digest('hex')
  const starts = digest.length - WORD_LENGTH - 2
  return Array.from({ length: maxTokens }, (_, index) => `${digest.slice(index % starts, index % starts + WORD_LENGTH)}-${index} `)
}
