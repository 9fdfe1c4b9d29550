/** The end of a relaying process looks like the end of an answer without a length: see claim.txt. */
import { createSystemClock } from '../../src/clock.js'
import { openSeverablePath } from '../../stand-ins/machines/severable-path.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import { send } from '../client.js'
import { BOUNDS, createDeployment } from '../deployment.js'
import type { GatewayProcess } from '../deployment.js'
import { openPath } from '../path.js'
import { CONFIGURATION, countEvents, EVENTS, planRequest } from '../plans.js'
import { createRecord, runCase } from '../record.js'

/** Milliseconds for an event of 5 tokens. */
const EVENT_PAUSE = 25

/** The server that sends its answers without a length, and to which one machine loses the path: one of five. */
const CUT_SERVER = 'i-1'
const SERVERS = [CUT_SERVER, 'i-2', 'i-3', 'i-4', 'i-5']

/** Subjects that are asked for at first, to see which of them that server answers. */
const SUBJECTS = Array.from({ length: 30 }, (_, index) => (0x91bd3f06 + index * 7_919).toString(16))

/** Events that a client has received when the relaying process is killed. */
const EVENTS_BEFORE_KILL = EVENTS / 2

/** `TROUBLE=0`: no disruption; `TROUBLE=cut`: the path is cut and no process is killed. */
const hasCut = process.env.TROUBLE !== '0'
const hasKill = hasCut && process.env.TROUBLE !== 'cut'

runCase(async () => {
  const clock = createSystemClock()
  const record = createRecord('review/1')
  const deployment = await createDeployment(['zone-a', 'zone-b', 'zone-c'])
  const servers = await Promise.all(SERVERS.map((id) => serveUpstream({ id, clock, events: EVENTS, pause: EVENT_PAUSE, unframed: id === CUT_SERVER })))
  const cutServer = servers[0]!
  const cutPath = await openSeverablePath(cutServer.address)
  const otherPaths = await Promise.all([1, 2, 3].map(() => openPath(cutServer.address)))
  const pathBy = (path: { readonly address: string }) => (address: string): string => address === cutServer.address ? path.address : address
  try {
    deployment.configure(CONFIGURATION)
    for (const [index, { id, address }] of servers.entries()) deployment.registerServer(id, { service: 'models', address, zone: `zone-${'abc'[index % 3]}`, slots: 64, version: 'v1' })
    const front = await deployment.startGateway('front-zone-a-1', 'zone-a', pathBy(cutPath))
    const others: GatewayProcess[] = []
    for (const [index, zone] of ['zone-b', 'zone-c', 'zone-c'].entries()) others.push(await deployment.startGateway(`front-${zone}-${index}`, zone, pathBy(otherPaths[index]!)))
    await clock.sleep(BOUNDS.contactMs)

    const first = await Promise.all(SUBJECTS.map(async (subject, index) => ({ subject, outcome: await send(planRequest(others[0]!.front, `first-${index}`, subject)) })))
    const subjects = first.filter(({ outcome }) => outcome.headers['x-hornbeamgap-server-stamp'] === CUT_SERVER).map(({ subject }) => subject)
    record.line(`${others[0]!.name}: ${first.filter(({ outcome }) => countEvents(outcome.body) === EVENTS).length} of ${first.length} plans whole, ${subjects.length} of them from ${CUT_SERVER}`)
    if (subjects.length === 0) throw new Error('no subject is served by the server')

    if (hasCut) {
      await cutPath.sever('silent')
      record.line(`the path from ${front.name} to ${CUT_SERVER} is cut; the other machines reach it`)
    }
    let isKilled = false

    function killRelay (): void {
      const relay = others[otherPaths.findIndex((path) => path.busy() > 0)]
      isKilled = true
      record.line(`SIGKILL to ${relay?.name ?? 'nobody'}, which relays`)
      relay?.process.kill('SIGKILL')
    }

    const answers = await Promise.all(subjects.map(async (subject, index) => {
      const id = `plan-${index}`
      record.line(`${id}: sent to ${front.name}`)
      let events = 0
      const outcome = await send({
        ...planRequest(front.front, id, subject),
        onData: (chunk) => {
          events += countEvents(chunk.toString('utf8'))
          if (hasKill && !isKilled && events >= EVENTS_BEFORE_KILL) killRelay()
        }
      })
      record.line(`${id}: status ${outcome.status ?? 'none'}, stamp ${String(outcome.headers['x-hornbeamgap-server-stamp'])}, ${countEvents(outcome.body)} of ${EVENTS} events, ${outcome.isComplete ? 'ended as complete' : 'cut'}${outcome.error === undefined ? '' : `, ${outcome.error}`}`)
      return { id, outcome }
    }))
    for (const { id, runs } of servers) record.line(`${id} ran: ${runs.map((run) => run.id).join(' ')}`)
    const wrong = answers.filter(({ outcome }) => outcome.status === 200 && outcome.isComplete && countEvents(outcome.body) < EVENTS)
    record.line(wrong.length === 0 ? 'ORDER held' : `ORDER broken by ${wrong.map(({ id }) => id).join(' ')}`)
    return wrong.length > 0
  } finally {
    await deployment.close()
    for (const path of otherPaths) path.close()
    await cutPath.close()
    await Promise.all(servers.map((server) => server.close()))
  }
})
