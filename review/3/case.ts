/** A stopping gateway admits streams that it then cuts: see claim.txt. */
import { createSystemClock } from '../../src/clock.js'
import { send } from '../client.js'
import type { Outcome } from '../client.js'
import { BOUNDS, createDeployment } from '../deployment.js'
import { serveEngine } from '../engine.js'
import { CONFIGURATION, countEvents, EVENTS, planRequest, RESOLVE_PATH, TIME_BUDGET } from '../plans.js'
import { createRecord, runCase } from '../record.js'

/** Milliseconds for an event of 5 tokens: 7 ms a step. The sheet says 3.09 ms and more, and allows pauses of 800 ms. */
const EVENT_PAUSE = 35

/** Milliseconds until a server begins a plan: its first one at once, later ones behind other prompts, in time for the objective of 1,200 ms. */
const SHORT_WAIT = 100
const LONG_WAIT = 1_100

/** Times after the SIGTERM at which plans are sent, in milliseconds. */
const SEND_TIMES = [500, 2_000, 3_300, 3_500, 3_800, 3_900, 4_000, 4_100, 4_200]

/** Some clients keep an answer of `/resolve` three times as long as it says. */
const KEPT_TIMES = 3

/** A request that was sent no later after the SIGTERM may be cut in the last sixth of the grace time. */
const EXCUSED_UNTIL = 3_000

/** Cuts count until 1 s after the grace time. */
const COUNTED_UNTIL = (BOUNDS.graceS + 1) * 1_000

interface Sent {
  readonly id: string
  readonly at: number
  readonly outcome: Outcome
}

const hasTrouble = process.env.TROUBLE !== '0'

runCase(async () => {
  const clock = createSystemClock()
  const record = createRecord('review/3')
  const deployment = await createDeployment(['zone-a', 'zone-b'])
  const servers = await Promise.all(['i-1', 'i-2'].map((id) => serveEngine({ id, events: EVENTS, pause: EVENT_PAUSE, isUnframed: false, wait: (runs) => runs === 0 ? SHORT_WAIT : LONG_WAIT })))
  try {
    deployment.configure(CONFIGURATION)
    for (const [index, { id, address }] of servers.entries()) deployment.registerServer(id, { service: 'models', address, zone: `zone-${'ab'[index]}`, slots: 64, version: 'v1' })
    const stopped = await deployment.startGateway('front-zone-a-1', 'zone-a')
    const other = await deployment.startGateway('front-zone-b-1', 'zone-b')
    await clock.sleep(BOUNDS.contactMs + 500)
    const resolved = await send({ address: other.directory, method: 'GET', path: RESOLVE_PATH, headers: {} })
    record.line(`resolve: ${resolved.body}`)
    const { addresses, ttlS } = JSON.parse(resolved.body) as { addresses: string[], ttlS: number }
    if (!addresses.includes(stopped.front)) throw new Error('the answer does not name the gateway')
    if (Math.max(...SEND_TIMES) > KEPT_TIMES * ttlS * 1_000) throw new Error('no client keeps the answer for so long')

    const start = clock.now()
    if (hasTrouble) {
      stopped.process.kill('SIGTERM')
      record.line(`SIGTERM to ${stopped.name}; graceS ${BOUNDS.graceS}`)
    }
    const sent = await Promise.all(SEND_TIMES.map(async (at): Promise<Sent> => {
      await clock.sleep(Math.max(0, start + at - clock.now()))
      const id = `plan-${at}`
      const sentAt = Math.round(clock.now() - start)
      record.line(`${id}: sent to ${stopped.name} ${sentAt} ms after the SIGTERM`)
      const outcome = await send(planRequest(stopped.front, id, '91bd3f06'))
      record.line(`${id}: status ${outcome.status ?? 'none'}, ${countEvents(outcome.body)} of ${EVENTS} events, ${outcome.isComplete ? 'complete' : 'cut'} after ${outcome.took} ms${outcome.error === undefined ? '' : `, ${outcome.error}`}`)
      return { id, at: sentAt, outcome }
    }))
    if (hasTrouble) record.line(`${stopped.name} ended: ${await stopped.exited}`)

    const runs = new Set(servers.flatMap(({ runs }) => runs))
    record.line(`run by a server: ${[...runs].join(' ')}`)
    const lost = sent.filter(({ id, at, outcome }) => runs.has(id) && !outcome.isComplete && at > EXCUSED_UNTIL && at + outcome.took <= COUNTED_UNTIL && outcome.took < TIME_BUDGET)
    record.line(lost.length === 0 ? 'LOST held' : `LOST broken by ${lost.map(({ id }) => id).join(' ')}`)
    return lost.length > 0
  } finally {
    await deployment.close()
    for (const server of servers) server.close()
  }
})
