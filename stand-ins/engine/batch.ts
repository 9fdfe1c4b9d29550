/**
 * Continuous batching of an engine stand-in: each step computes a share of the waiting prompts and
 * one token of every answer in the batch; answers leave and join between steps.
 */
import type { Clock } from '../../src/clock.js'
import { CRASH_MARK } from './types.js'
import type { EngineFaults, EngineShape, EngineTokens } from './types.js'
import type { PrefixCache } from './prefix-cache.js'
import { isOpen, notify, setState } from './stream.js'
import type { Stream } from './stream.js'

/** Answers being computed and waiting. */
export interface Batch {
  /** Adds an answer to the queue. */
  enter (stream: Stream): void
  running (): number
  waiting (): number
}

/** What the batch needs from its engine. */
export interface BatchContext {
  readonly shape: EngineShape
  readonly faults: EngineFaults
  readonly tokens: EngineTokens
  readonly cache: PrefixCache
  readonly clock: Clock
  readonly signal: AbortSignal
  /** Called when a prompt with the crash mark has been computed. */
  readonly crash: () => void
}

/** Prompt tokens computed in one step, so that running answers do not wait for a long prompt. */
const PREFILL_CHUNK = 512

/**
 * @example
 * const batch = createBatch(context)
 * batch.enter(stream)
 */
export function createBatch (context: BatchContext): Batch {
  const { shape, faults, clock, signal } = context
  let queue: Stream[] = []
  let members: Stream[] = []
  let wake: () => void = () => {}

  /** Smaller priorities first; among equals the earlier arrival. */
  function admit (): void {
    queue = queue.filter((stream) => stream.state === 'waiting')
    while (members.length < shape.batch && queue.length > 0) {
      const first = queue.reduce((best, stream) => stream.body.priority < best.body.priority ? stream : best)
      queue = queue.filter((stream) => stream !== first)
      prepare(context, first)
      members.push(first)
    }
  }

  async function step (): Promise<void> {
    const prefilling = takePrefill(members)
    const decoding = members.filter((stream) => stream.prefillLeft === 0 && !isStalled(faults, stream))
    const decodeTime = decoding.length === 0 ? 0 : shape.tokenTime * (1 + shape.batchCost * (decoding.length - 1))
    const duration = (decodeTime + prefilling / shape.prefillRate) * faults.slowdown
    await clock.sleep(duration > 0 ? duration : shape.tokenTime, signal)
    for (const stream of decoding) advance(context, stream)
    members = members.filter((stream) => stream.state === 'running')
  }

  async function loop (): Promise<void> {
    while (!signal.aborted) {
      admit()
      if (members.length > 0) await step()
      else await new Promise<void>((resolve) => { wake = resolve })
    }
  }

  signal.addEventListener('abort', () => wake(), { once: true })
  loop().catch(() => {})

  return {
    enter: (stream) => {
      queue.push(stream)
      wake()
    },
    running: () => members.filter(isOpen).length,
    waiting: () => queue.filter(isOpen).length
  }
}

/** Only what is not cached is computed; a continued answer's tokens are computed again as well. */
function prepare (context: BatchContext, stream: Stream): void {
  const { cache, tokens } = context
  stream.state = 'running'
  if (!stream.prepared) {
    stream.prepared = true
    stream.cachedTokens = Math.min(stream.promptTokens, cache.cachedTokens(stream.blocks))
    stream.prefillLeft = stream.promptTokens - stream.cachedTokens + stream.sent
    countPrompt(tokens, stream)
  }
  cache.store(stream.blocks)
}

function countPrompt (tokens: EngineTokens, stream: Stream): void {
  if (stream.body.continuation === undefined) {
    tokens.prompt += stream.promptTokens
    tokens.cached += stream.cachedTokens
  } else {
    tokens.recomputed += stream.prefillLeft
  }
}

/** Computes up to one chunk of prompts, in order of arrival in the batch. */
function takePrefill (members: readonly Stream[]): number {
  let left = PREFILL_CHUNK
  for (const stream of members) {
    const taken = Math.min(left, stream.prefillLeft)
    stream.prefillLeft -= taken
    left -= taken
  }
  return PREFILL_CHUNK - left
}

function advance (context: BatchContext, stream: Stream): void {
  if (stream.state !== 'running') return
  if (stream.body.messages.some((message) => message.content.includes(CRASH_MARK))) return context.crash()
  if (stream.sent < stream.words.length) {
    stream.sent += 1
    context.tokens.generated += 1
  }
  if (stream.sent >= stream.words.length) setState(stream, 'finished')
  else notify(stream)
}

function isStalled (faults: EngineFaults, stream: Stream): boolean {
  return faults.stallAfter !== undefined && stream.sent >= faults.stallAfter
}
