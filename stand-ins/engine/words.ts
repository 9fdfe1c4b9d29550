/** Answers and token counts of engine stand-ins: functions of the prompt alone. */
import { createHash } from 'node:crypto'

/** Characters that count as one token of a prompt. */
const TOKEN_LENGTH = 4

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

/**
 * @returns tokens of a prompt
 * @example
 * countTokens([{ content: 'Which resin?' }]) // 3
 */
export function countTokens (messages: readonly { content: string }[]): number {
  return messages.reduce((sum, message) => sum + Math.ceil(message.content.length / TOKEN_LENGTH), 0)
}
