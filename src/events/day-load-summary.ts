/** Summary of the load of a day from its counters. */
import type { Milliseconds } from '../clock.js'
import { quantileOf } from './day-buckets.js'
import type { BucketCount } from './day-buckets.js'
import { createCounters } from './day-counters.js'
import type { Counters } from './day-counters.js'
import { PROMPT_SIZES, sizesOfBuckets } from './day-sizes.js'
import type { PromptSize } from './day-sizes.js'
import type { Spans } from './day-spans.js'
import type { KnownUpstream } from './day-upstreams.js'

/** Numbers of requests that ended, by outcome. */
export interface LoadCounts {
  readonly requests: number
  /** Answered, and the answer began within the target of the class. */
  readonly inTime: number
  readonly late: number
  /** Not run, by code. */
  readonly refused: Readonly<Record<string, number>>
  /** Not answered although they may have run, or answered with an error, by code. */
  readonly failed: Readonly<Record<string, number>>
  /** Abandoned by the caller. */
  readonly left: number
}

/** Kinds of outcomes of requests. */
export type OutcomeKind = Exclude<keyof LoadCounts, 'requests'>

/** Load of one upstream. Requests are counted at the upstream of their latest attempt. */
export interface UpstreamLoad extends LoadCounts {
  /** Attempts that the upstream did not run, and attempts that broke off, of requests with any outcome. */
  readonly attemptsNotRun: number
  readonly attemptsBroken: number
  /** Mean number of requests in flight. Undefined if the upstream was not there for half of a span. */
  readonly inFlight: number | undefined
  /** Quantiles of the time from the dispatch to the first answer. Undefined without answers. */
  readonly firstAnswer: { readonly median: Milliseconds, readonly quantile90: Milliseconds } | undefined
}

/** Requests in flight at the upstreams of a service, each as its mean over the span. */
export interface InFlight {
  readonly upstreams: number
  readonly minimum: number
  readonly median: number
  readonly maximum: number
}

/** Load of one span, or of all of them. */
export interface LoadPart {
  /** Wall time of the start of the span. */
  readonly from: Milliseconds
  readonly classes: Readonly<Record<string, LoadCounts>>
  readonly organisations: Readonly<Record<string, LoadCounts>>
  readonly sizes: Readonly<Partial<Record<PromptSize, LoadCounts>>>
  readonly upstreams: Readonly<Record<string, UpstreamLoad>>
  /** By service. */
  readonly inFlight: Readonly<Record<string, InFlight>>
  /** Requests refused by quotas, by organisation and cause. */
  readonly quotaRefused: Readonly<Record<string, Readonly<Record<string, number>>>>
  /** Requests that began to wait, by class. */
  readonly queued: Readonly<Record<string, number>>
}

/** What was read, and how far it is complete. */
export interface LoadSource {
  readonly processes: readonly string[]
  readonly lines: number
  /** Lines that are cut off, of other programs, or of an event that this version does not know. */
  readonly unreadable: number
  /** Lines that nodes left out to bound the volume, by event. */
  readonly leftOut: Readonly<Record<string, number>>
  /** Ended requests by their own lines. */
  readonly requests: number
  /** Ended requests by the periodic sums, which are never left out. */
  readonly requestsSummed: number
  /** Answers of nodes of an older build, which do not state whether they were late. */
  readonly withoutLate: number
  /** Attempts without a line of their end. They do not count as in flight. */
  readonly unendedAttempts: number
}

/** Load of a day. */
export interface LoadSummary {
  /** Length of a span. */
  readonly step: Milliseconds
  readonly source: LoadSource
  readonly total: LoadPart
  /** In the order of time, without spans in which nothing happened. */
  readonly parts: readonly LoadPart[]
}

type SizesByClass = ReadonlyMap<string, ReadonlyMap<string, PromptSize>>

/**
 * Summarizes counters by span.
 *
 * @example
 * summarizeLoad(spans, directory.all(), source).total.classes.booking?.inTime
 */
export function summarizeLoad (spans: Spans, upstreams: ReadonlyMap<string, KnownUpstream>, source: LoadSource): LoadSummary {
  const all = spans.all()
  const step = spans.step()
  const merged = createCounters()
  for (const { counters } of all) merged.merge(counters)
  const sizes = new Map(merged.names(['prompt']).map((name) => [name, sizesOfBuckets(promptBuckets(merged, name))]))
  const from = all[0]?.from ?? 0
  const to = (all.at(-1)?.from ?? 0) + step
  const part = (counters: Counters, from: Milliseconds, to: Milliseconds): LoadPart => summarizePart({ counters, from, to, step, sizes, upstreams })
  return { step, source, total: part(merged, from, to), parts: all.map(({ from, counters }) => part(counters, from, from + step)) }
}

interface PartOptions {
  readonly counters: Counters
  readonly from: Milliseconds
  readonly to: Milliseconds
  readonly step: Milliseconds
  readonly sizes: SizesByClass
  readonly upstreams: ReadonlyMap<string, KnownUpstream>
}

function summarizePart (options: PartOptions): LoadPart {
  const { counters, from, sizes } = options
  const inFlight = inFlightByUpstream(options)
  return {
    from,
    classes: countsByName(counters, ['class']),
    organisations: countsByName(counters, ['organisation']),
    sizes: countsBySize(counters, sizes),
    upstreams: summarizeUpstreams(counters, inFlight),
    inFlight: inFlightByService(inFlight, options.upstreams),
    quotaRefused: recordOf(counters.names(['quotaRefused']), (name) => numbersOf(counters, ['quotaRefused', name])),
    queued: numbersOf(counters, ['queued'])
  }
}

type MutableCounts = { -readonly [Name in keyof LoadCounts]: LoadCounts[Name] extends number ? number : Record<string, number> }

/** Counts of the requests under a path, where the kind, the code and the name follow the path. */
function countsByName (counters: Counters, path: readonly string[]): Record<string, LoadCounts> {
  const counts = new Map<string, MutableCounts>()
  addCounts(counts, counters, path, (name) => name)
  return recordOf([...counts.keys()], (name) => counts.get(name)!)
}

function addCounts<Name extends string> (counts: Map<Name, MutableCounts>, counters: Counters, path: readonly string[], rename: (name: string) => Name): void {
  for (const kind of counters.names(path) as OutcomeKind[]) {
    for (const code of counters.names([...path, kind])) {
      for (const name of counters.names([...path, kind, code])) addCount(counts, rename(name), kind, code, counters.sum([...path, kind, code, name]))
    }
  }
}

function addCount<Name extends string> (counts: Map<Name, MutableCounts>, name: Name, kind: OutcomeKind, code: string, count: number): void {
  const target = counts.get(name) ?? noRequests()
  counts.set(name, target)
  target.requests += count
  if (kind === 'refused' || kind === 'failed') target[kind][code] = (target[kind][code] ?? 0) + count
  else target[kind] += count
}

function noRequests (): MutableCounts {
  return { requests: 0, inTime: 0, late: 0, refused: {}, failed: {}, left: 0 }
}

function countsBySize (counters: Counters, sizes: SizesByClass): Partial<Record<PromptSize, LoadCounts>> {
  const counts = new Map<PromptSize, MutableCounts>()
  for (const name of counters.names(['prompt'])) addCounts(counts, counters, ['prompt', name], (bucket) => sizes.get(name)?.get(bucket) ?? 'unknown')
  return Object.fromEntries(PROMPT_SIZES.filter((size) => counts.has(size)).map((size) => [size, counts.get(size)!]))
}

/** Numbers of prompts of a class by bucket. */
function promptBuckets (counters: Counters, name: string): BucketCount[] {
  const path = ['prompt', name]
  return counters.names(path).flatMap((kind) => counters.names([...path, kind]).flatMap((code) => bucketCounts(counters, [...path, kind, code])))
}

function summarizeUpstreams (counters: Counters, inFlight: ReadonlyMap<string, number>): Record<string, UpstreamLoad> {
  const counts = countsByName(counters, ['upstream'])
  const attempts = [...counters.names(['attempts', 'notRun']), ...counters.names(['attempts', 'broken'])]
  return recordOf([...new Set([...Object.keys(counts), ...attempts, ...inFlight.keys()])], (name) => ({
    ...counts[name] ?? noRequests(),
    attemptsNotRun: counters.sum(['attempts', 'notRun', name]),
    attemptsBroken: counters.sum(['attempts', 'broken', name]),
    inFlight: inFlight.get(name),
    firstAnswer: firstAnswerOf(bucketCounts(counters, ['firstAnswer', name]))
  }))
}

function firstAnswerOf (counts: readonly BucketCount[]): UpstreamLoad['firstAnswer'] {
  const median = quantileOf(counts, 0.5)
  const quantile90 = quantileOf(counts, 0.9)
  return median === undefined || quantile90 === undefined ? undefined : { median, quantile90 }
}

/** Mean number of requests in flight, for the upstreams that were there for half of a span at least. */
function inFlightByUpstream ({ counters, from, to, step, upstreams }: PartOptions): Map<string, number> {
  const means = new Map<string, number>()
  for (const [name, { from: since, to: until }] of upstreams) {
    const present = Math.min(to, until ?? Infinity) - Math.max(from, since)
    if (present >= step / 2) means.set(name, counters.sum(['busy', name]) / present)
  }
  return means
}

function inFlightByService (means: ReadonlyMap<string, number>, upstreams: ReadonlyMap<string, KnownUpstream>): Record<string, InFlight> {
  const byService = new Map<string, number[]>()
  for (const [name, mean] of means) {
    const { service } = upstreams.get(name)!
    byService.set(service, [...byService.get(service) ?? [], mean])
  }
  return recordOf([...byService.keys()], (service) => {
    const sorted = byService.get(service)!.toSorted((left, right) => left - right)
    const median = (sorted[Math.floor((sorted.length - 1) / 2)]! + sorted[Math.ceil((sorted.length - 1) / 2)]!) / 2
    return { upstreams: sorted.length, minimum: sorted[0]!, median, maximum: sorted.at(-1)! }
  })
}

function bucketCounts (counters: Counters, path: readonly string[]): BucketCount[] {
  return counters.names(path).map((bucket) => ({ bucket, count: counters.sum([...path, bucket]) }))
}

function numbersOf (counters: Counters, path: readonly string[]): Record<string, number> {
  return recordOf(counters.names(path), (name) => counters.sum([...path, name]))
}

function recordOf<Name extends string, Value> (names: readonly Name[], read: (name: Name) => Value): Record<Name, Value> {
  return Object.fromEntries(names.toSorted().map((name) => [name, read(name)])) as Record<Name, Value>
}
