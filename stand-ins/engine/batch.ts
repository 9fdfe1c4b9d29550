/**
 * Continuous batching of an engine stand-in. Each step prefills up to one chunk of prompt tokens and
 * decodes one token of every answer in the batch. Answers join and leave the batch between steps.
 */
import type { Clock } from '../../src/clock.js'
import { CRASH_MARK } from './types.js'
import type { EngineFaults, EngineShape, EngineTokens } from './types.js'
import type { PrefixCache } from './prefix-cache.js'
import { isOpen, notify, setState } from './stream.js'
import type { Stream } from './stream.js'

/** The running answers and the queue of waiting ones. */
export interface Batch {
  /** Adds an answer to the queue. */
  enter (stream: Stream): void
  running (): number
  waiting (): number
}

/** Dependencies of the batch on its engine. */
export interface BatchContext {
  readonly shape: EngineShape
  readonly faults: EngineFaults
  readonly tokens: EngineTokens
  readonly cache: PrefixCache
  readonly clock: Clock
  readonly signal: AbortSignal
  /** Called after the prefill of a prompt that contains the crash mark. */
  readonly crash: () => void
}

/** Maximum prompt tokens prefilled in one step. The limit keeps a long prompt from delaying running answers. */
const PREFILL_CHUNK = 512

/**
 * Creates a batch and starts its loop, which runs until `context.signal` aborts.
 *
 * @example
 * const batch = createBatch(context)
 * batch.enter(stream)
 */
export function createBatch (context: BatchContext): Batch {
  const { shape, faults, clock, signal } = context
  let queue: Stream[] = []
  let active: Stream[] = []
  let wake: () => void = () => {}

  /** Fills the batch from the queue: the smallest priority value first, then the earliest arrival. */
  function admit (): void {
    queue = queue.filter((stream) => stream.state === 'waiting')
    while (active.length < shape.batch && queue.length > 0) {
      const next = queue.reduce((best, stream) => stream.body.priority < best.body.priority ? stream : best)
      queue = queue.filter((stream) => stream !== next)
      startStream(context, next)
      active.push(next)
    }
  }

  async function step (): Promise<void> {
    const prefillTokens = computePrefill(active)
    const decoding = active.filter((stream) => stream.prefillRemaining === 0 && !isStalled(faults, stream))
    const decodeTime = decoding.length === 0 ? 0 : shape.tokenTime * (1 + shape.batchCost * (decoding.length - 1))
    const duration = (decodeTime + prefillTokens / shape.prefillRate) * faults.slowdown
    await clock.sleep(duration > 0 ? duration : shape.tokenTime, signal)
    for (const stream of decoding) advanceStream(context, stream)
    active = active.filter((stream) => stream.state === 'running')
  }

  async function loop (): Promise<void> {
    while (!signal.aborted) {
      admit()
      if (active.length > 0) await step()
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
    running: () => active.filter(isOpen).length,
    waiting: () => queue.filter(isOpen).length
  }
}

/** Sets the tokens to prefill: uncached prompt tokens, plus the existing tokens of a continued answer. */
function startStream (context: BatchContext, stream: Stream): void {
  const { cache, tokens } = context
  stream.state = 'running'
  if (!stream.prepared) {
    stream.prepared = true
    stream.cachedTokens = Math.min(stream.promptTokens, cache.cachedTokens(stream.blocks))
    stream.prefillRemaining = stream.promptTokens - stream.cachedTokens + stream.sent
    countPrompt(tokens, stream)
  }
  cache.store(stream.blocks)
}

function countPrompt (tokens: EngineTokens, stream: Stream): void {
  if (stream.body.continuation === undefined) {
    tokens.prompt += stream.promptTokens
    tokens.cached += stream.cachedTokens
  } else {
    tokens.recomputed += stream.prefillRemaining
  }
}

/** Prefills up to one chunk of prompt tokens, in the order in which the streams joined the batch. @returns tokens prefilled */
function computePrefill (members: readonly Stream[]): number {
  let budget = PREFILL_CHUNK
  for (const stream of members) {
    const computed = Math.min(budget, stream.prefillRemaining)
    stream.prefillRemaining -= computed
    budget -= computed
  }
  return PREFILL_CHUNK - budget
}

function advanceStream (context: BatchContext, stream: Stream): void {
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
