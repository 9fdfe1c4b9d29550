/**
 * A queueing fake of a model engine in virtual time: steps of continuous batching, prefill in chunks,
 * decoding that slows with the batch, a prefix cache in limited memory, and load that it reports late.
 * Priorities order what waits and the prompts being computed; a running answer is never stopped.
 */
import type { Milliseconds } from '../../src/clock.js'
import type { EventQueue } from './event-queue.js'

/** How fast and how large an engine is. */
export interface EngineShape {
  /** Answers decoded at a time. */
  readonly batch: number
  /** Time of a step without any work in it. */
  readonly stepTime: Milliseconds
  /** Time that each decoded answer adds to a step. */
  readonly answerTime: Milliseconds
  /** Prompt tokens computed per millisecond. */
  readonly prefillRate: number
  /** Most prompt tokens computed in one step. */
  readonly chunk: number
  /** Blocks of prompt that the cache holds. */
  readonly cacheBlocks: number
}

/** An answer asked of an engine. */
export interface EngineJob {
  readonly priority: number
  readonly promptTokens: number
  readonly generatedTokens: number
  readonly blocks: readonly string[]
  readonly blockTokens: number
  onFirstToken (): void
  onWhole (cachedTokens: number): void
  onBroken (generated: number): void
}

/** Changes of the cache since the last look. */
export interface CacheChanges {
  readonly stored: readonly string[]
  readonly evicted: readonly string[]
}

/** A running fake. */
export interface FakeEngine {
  /** @returns a function that cancels the job and tells how many tokens it had generated */
  start (job: EngineJob): () => number
  load (): { running: number, waiting: number }
  /** Ends every job; nothing works from then on. */
  kill (): void
  /** 1 is usual; `Infinity` accepts jobs and makes no progress. */
  slow (factor: number): void
  takeCacheChanges (): CacheChanges
  computedTokens (): number
}

interface Active {
  readonly job: EngineJob
  readonly sequence: number
  toCompute: number
  cachedTokens: number
  generated: number
  cancelled: boolean
}

/** Answers whose prompts are still to be computed, the most urgent first. */
function byPriority (running: readonly Active[]): Active[] {
  const computing = running.filter((active) => active.toCompute > 0)
  return computing.sort((left, right) => left.job.priority - right.job.priority || left.sequence - right.sequence)
}

/**
 * @example
 * const engine = createFakeEngine(events, shape)
 * const cancel = engine.start(job)
 */
export function createFakeEngine (events: EventQueue, shape: EngineShape): FakeEngine {
  const waiting: Active[] = []
  let running: Active[] = []
  const cache = new Set<string>()
  let stored: string[] = []
  let evicted: string[] = []
  let stepping = false
  let dead = false
  let factor = 1
  let sequence = 0
  let computed = 0

  function admit (): void {
    while (running.length < shape.batch && waiting.length > 0) {
      const next = waiting.shift() as Active
      const cachedBlocks = countCached(next.job.blocks)
      next.cachedTokens = Math.min(next.job.promptTokens - 1, cachedBlocks * next.job.blockTokens)
      next.toCompute = next.job.promptTokens - next.cachedTokens
      running.push(next)
    }
  }

  function countCached (blocks: readonly string[]): number {
    let count = 0
    while (count < blocks.length && cache.has(blocks[count] as string)) count += 1
    return count
  }

  function remember (blocks: readonly string[]): void {
    for (let index = blocks.length - 1; index >= 0; index -= 1) {
      const block = blocks[index] as string
      if (!cache.delete(block)) stored.push(block)
      cache.add(block)
    }
    for (const block of cache) {
      if (cache.size <= shape.cacheBlocks) break
      cache.delete(block)
      evicted.push(block)
    }
  }

  function step (): void {
    if (stepping || dead) return
    admit()
    if (running.length === 0 || factor === Infinity) return
    stepping = true
    let chunk = shape.chunk
    let decoding = 0
    const computing: { active: Active, tokens: number }[] = []
    for (const active of running) if (active.toCompute === 0) decoding += 1
    for (const active of byPriority(running)) {
      if (chunk === 0) break
      const tokens = Math.min(chunk, active.toCompute)
      chunk -= tokens
      computing.push({ active, tokens })
    }
    const time = shape.stepTime + decoding * shape.answerTime + (shape.chunk - chunk) / shape.prefillRate
    events.after(time * factor, () => endStep(computing))
  }

  function endStep (computing: readonly { active: Active, tokens: number }[]): void {
    stepping = false
    if (dead) return
    const finished: Active[] = []
    for (const active of running) if (active.toCompute === 0 && !active.cancelled) decode(active, finished)
    for (const { active, tokens } of computing) compute(active, tokens, finished)
    running = running.filter((active) => !active.cancelled && !finished.includes(active))
    for (const active of finished) active.job.onWhole(active.cachedTokens)
    step()
  }

  function compute (active: Active, tokens: number, finished: Active[]): void {
    computed += tokens
    active.toCompute -= tokens
    if (active.toCompute > 0 || active.cancelled) return
    remember(active.job.blocks)
    active.generated = 1
    active.job.onFirstToken()
    if (active.job.generatedTokens <= 1) finished.push(active)
  }

  function decode (active: Active, finished: Active[]): void {
    active.generated += 1
    if (active.generated >= active.job.generatedTokens) finished.push(active)
  }

  function insert (active: Active): void {
    let index = waiting.length
    while (index > 0 && (waiting[index - 1] as Active).job.priority > active.job.priority) index -= 1
    waiting.splice(index, 0, active)
  }

  return {
    start: (job) => {
      const active: Active = { job, sequence: sequence++, toCompute: job.promptTokens, cachedTokens: 0, generated: 0, cancelled: false }
      if (dead) events.after(1, () => { if (!active.cancelled) job.onBroken(0) })
      else insert(active)
      step()
      return () => {
        active.cancelled = true
        const index = waiting.indexOf(active)
        if (index >= 0) waiting.splice(index, 1)
        return active.generated
      }
    },
    load: () => ({ running: running.length, waiting: waiting.length }),
    kill: () => {
      dead = true
      const broken = [...running, ...waiting].filter((active) => !active.cancelled)
      running = []
      waiting.length = 0
      for (const active of broken) active.job.onBroken(active.generated)
    },
    slow: (value) => {
      factor = value
      step()
    },
    takeCacheChanges: () => {
      const changes = { stored, evicted }
      stored = []
      evicted = []
      return changes
    },
    computedTokens: () => computed
  }
}
