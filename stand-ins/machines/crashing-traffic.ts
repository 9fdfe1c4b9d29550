/**
 * Traffic with parts of prompts that crash upstreams, beside sound traffic that shares its caller and its other parts, and the bounds that
 * the users' rules set: how many requests with such a part may still reach upstreams, and how often sound ones are answered.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { request } from 'undici'
import { HEADER } from '../../platform/names.js'
import type { Clock, Milliseconds } from '../../src/clock.js'
import { SECOND } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import type { RestartingUpstreams } from './restarting-upstreams.js'

/** Host and key of the one caller. */
export const CRASHING_TRAFFIC_HOST = 'api.example'
export const CRASHING_TRAFFIC_KEY = 'a-key'

/** Events of a whole answer. */
export const EVENTS = 5

/** A node that takes requests. */
export type RequestNode = Pick<GatewayNode, 'addresses'>

/** Answer to one request. */
export interface Answer {
  readonly askedAt: Milliseconds
  readonly status: number
  readonly isWhole: boolean
}

/** One question. */
export interface Question {
  readonly route?: string
  /** Parts of its prompt, but for the last one, which is its own. */
  readonly parts: readonly string[]
  /** Id of the event after which a stream is resumed. */
  readonly lastEvent?: string
}

/** Who asks what, and how often. */
export interface CrashingTraffic {
  readonly nodes: readonly RequestNode[]
  readonly upstreams: RestartingUpstreams
  /** Requests a second, without and with a part that crashes upstreams. */
  readonly soundRate: number
  readonly crashingRate: number
  /** Parts of the sound requests, in turn. */
  readonly sound: readonly (readonly string[])[]
  /** Parts of the others, in turn. */
  readonly guilty: readonly (readonly string[])[]
  /** The parts that crash upstreams. */
  readonly crashing: readonly string[]
}

/** What was observed. */
export interface CrashingTrafficResult {
  /** Requests with the part that reached upstreams too late, by part. */
  readonly lateSends: Readonly<Record<string, number>>
  /** Number of upstreams that have crashed. */
  readonly crashes: number
  /** Fractions of sound requests that were answered at the first attempt. */
  readonly soundBefore: number
  readonly soundAfter: number
}

/** Crashes by one part that are allowed before the bounds hold. */
export const FREE_CRASHES = 5

/** Requests with the part that may reach upstreams once the bounds hold. */
export const MAX_LATE_SENDS = 3

/** Sound requests are to begin at the first attempt at least so much as often as before, from twice the contact time on. */
export const MIN_SOUND_FRACTION = 1 / 2

/** Time from the last free crash after which all nodes know of it. */
const CONTACT: Milliseconds = 3 * SECOND

const CALM: Milliseconds = 2 * SECOND
const OBSERVED: Milliseconds = 4 * SECOND
const POLL_INTERVAL: Milliseconds = 20

let lastId = 0

/**
 * Asks a question, no two of which are alike.
 *
 * @example
 * const { isWhole } = await askQuestion(clock, node, { parts: ['5c1e07a2'] })
 */
export async function askQuestion (clock: Clock, node: RequestNode, { route = 'question', parts, lastEvent }: Question): Promise<Answer> {
  const askedAt = clock.now()
  lastId += 1
  const id = lastId.toString(16).padStart(16, '0')
  const prompt = [...parts.map((part) => `${part}:300`), `${id}:200`].join(',')
  const headers = { host: CRASHING_TRAFFIC_HOST, [HEADER.requestId]: id, [HEADER.key]: CRASHING_TRAFFIC_KEY, [HEADER.deadline]: '2500', [HEADER.tokenUsage]: '800,25', [HEADER.promptParts]: prompt, ...(lastEvent === undefined ? {} : { [HEADER.lastEventId]: lastEvent, [HEADER.resumes]: 'begun' }) }
  const { statusCode, body } = await request(`http://${node.addresses.front}/${route}/x`, { method: 'POST', body: `question ${id}`, headers })
  const text = await body.text().catch(() => '')
  return { askedAt, status: statusCode, isWhole: statusCode === 200 && text.match(/^id: /gm)?.length === EVENTS }
}

/**
 * The parts of a request's prompt, as its headers name them.
 *
 * @example
 * partsOf(run.headers).includes('b00b1e55')
 */
export function partsOf (headers: IncomingHttpHeaders): string[] {
  return String(headers[HEADER.promptParts] ?? '').split(',').map((part) => part.split(':')[0]!)
}

/**
 * Asks sound questions, then also some with parts that crash upstreams, until the bounds have held for a while.
 *
 * @example
 * const { lateSends, soundBefore, soundAfter } = await playCrashingTraffic(clock, { nodes, upstreams, soundRate: 60, crashingRate: 8, sound, guilty, crashing })
 */
export async function playCrashingTraffic (clock: Clock, { nodes, upstreams, soundRate, crashingRate, sound, guilty, crashing }: CrashingTraffic): Promise<CrashingTrafficResult> {
  const traffic = new AbortController()
  const soundAsked = askSteadily(clock, nodes, soundRate, sound, traffic.signal)
  await clock.sleep(CALM)
  const from = clock.now()
  const guiltyAsked = askSteadily(clock, nodes, crashingRate, guilty, traffic.signal)
  while (upstreams.crashes.length < FREE_CRASHES * crashing.length && clock.now() - from < CONTACT) await clock.sleep(POLL_INTERVAL)
  await clock.sleep(2 * CONTACT + OBSERVED)
  const crashesBy = (part: string): readonly Milliseconds[] => upstreams.crashes.filter(({ headers }) => headers !== undefined && partsOf(headers).includes(part)).map(({ at }) => at)
  const lastFreeCrash = (): Milliseconds => Math.max(from, ...crashing.map((part) => crashesBy(part).slice(0, FREE_CRASHES).at(-1) ?? from))
  while (clock.now() < lastFreeCrash() + 2 * CONTACT + OBSERVED) await clock.sleep(POLL_INTERVAL)
  traffic.abort()
  const soundAnswers = await soundAsked
  await guiltyAsked
  const lateFrom = (part: string): Milliseconds => (crashesBy(part)[FREE_CRASHES - 1] ?? Infinity) + CONTACT
  const lateSends = (part: string): number => upstreams.runs().filter(({ at, headers }) => at > lateFrom(part) && partsOf(headers).includes(part)).length
  return {
    lateSends: Object.fromEntries(crashing.map((part) => [part, lateSends(part)])),
    crashes: upstreams.crashes.length,
    soundBefore: wholeFraction(soundAnswers.filter(({ askedAt }) => askedAt < from)),
    soundAfter: wholeFraction(soundAnswers.filter(({ askedAt }) => askedAt > lastFreeCrash() + 2 * CONTACT))
  }
}

/**
 * Asks at a steady rate, at all nodes in turn, until the signal aborts.
 *
 * @param prompts parts of the requests, in turn
 * @example
 * const answers = await askSteadily(clock, nodes, 60, [['5c1e07a2', '91bd3f06']], traffic.signal)
 */
export async function askSteadily (clock: Clock, nodes: readonly RequestNode[], rate: number, prompts: readonly (readonly string[])[], signal: AbortSignal): Promise<Answer[]> {
  const answers: Promise<Answer>[] = []
  const start = clock.now()
  while (!signal.aborted) {
    const due = Math.floor((clock.now() - start) * rate / SECOND)
    for (let index = answers.length; index < due; index += 1) answers.push(askQuestion(clock, nodes[index % nodes.length]!, { parts: prompts[index % prompts.length]! }))
    await clock.sleep(POLL_INTERVAL)
  }
  return Promise.all(answers)
}

function wholeFraction (answers: readonly Answer[]): number {
  return answers.filter(({ isWhole }) => isWhole).length / answers.length
}
