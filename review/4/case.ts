/** Two nodes are stopped in turn. Each still takes requests after it has found none in progress, and breaks them off. */
import { createServer as createHttpServer, request as sendRequest } from 'node:http'
import type { AddressInfo } from 'node:net'
import { clock, EXIT, HOST, isCalm, LOOPBACK, note, resolveAddresses, runCase, startAgain, startGateway, startPlatform, statusOf, until } from '../harness-2.js'
import type { Gateway } from '../harness-2.js'

/** This caller keeps an answer with addresses three times as long as it says. */
const KEPT_FACTOR = 3

/** Time that the server works on a request. */
const WORK_MS = 48

/** Time between two requests of the callers to each node: a little longer than one takes, so that a node is idle for moments. */
const PERIOD_MS = 57

/** Key of the only tenant. */
const KEY = '3d3zji9n73hh2b9wu3fe'

/** Time between the stops of the two nodes. */
const GAP_MS = 1_000

/** The stops are repeated until a request is lost, at most so often. */
const TURNS = 3

/** Bounds of the rule: the time between SIGTERM and SIGKILL, and the time after it in which a stop counts as planned work. */
const GRACE_MS = 8_000
const AFTER_GRACE_MS = 1_000

/** A request that was sent no later than this after the SIGTERM is excused where its server is still at work near the end of the grace. */
const EXCUSED_UNTIL_MS = 3_000

/** Time budget of a booking, and its route's timeout. */
const BUDGET_MS = 1_000

/** Time after which a calm machine is in touch. */
const CONTACT_MS = 3_000

/** Time from the first stop to the end of the traffic. */
const OBSERVED_MS = 9_000

interface Attempt {
  readonly id: string
  readonly node: string
  readonly sentAt: number
  /** Time of the SIGTERM of the node that it is sent to; undefined if that has got none. */
  readonly stoppedAt: number | undefined
  outcome: string
  endedAt: number
}

/** Sends a booking on a connection of its own. */
function send (port: number, attempt: Attempt, since: number, onRefused: () => void): void {
  const end = (outcome: string): void => {
    if (attempt.endedAt !== 0) return
    attempt.outcome = outcome
    attempt.endedAt = clock.now() - since
  }
  const headers = { host: HOST, 'x-hornbeamgap-request-id': attempt.id, 'x-hornbeamgap-deadline-ms': String(BUDGET_MS), 'api-key': KEY }
  const outgoing = sendRequest({ host: LOOPBACK, port, method: 'POST', path: '/book/7', agent: false, headers }, (response) => {
    response.resume()
    response.on('end', () => end(`status ${response.statusCode}`))
    response.on('error', () => end('the answer was cut'))
  })
  outgoing.on('error', ({ code, message }: NodeJS.ErrnoException) => {
    if (code === 'ECONNREFUSED') onRefused()
    end(code === 'ECONNREFUSED' ? 'connection refused' : `the connection ended without an answer (${message})`)
  })
  outgoing.end('a booking')
}

async function main (): Promise<number> {
  const { store, api } = await startPlatform()
  const runs = new Set<string>()
  const server = createHttpServer((request, response) => {
    request.resume()
    request.on('end', () => {
      const id = String(request.headers['x-hornbeamgap-request-id'])
      if (request.headers['x-hornbeamgap-expect-instance'] !== 'i-1') {
        response.writeHead(421, { 'X-Hornbeamgap-Request-Id': id, 'X-Hornbeamgap-Not-Executed': '1' })
        response.end()
        return
      }
      runs.add(id)
      setTimeout(() => {
        response.writeHead(200, { 'X-Hornbeamgap-Request-Id': id, 'X-Hornbeamgap-Server-Stamp': `stamp-${id}` })
        response.end('booked')
      }, WORK_MS)
    })
  })
  server.keepAliveTimeout = 15_000
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve))
  store.store.put('op/config', JSON.stringify({
    version: 1,
    routes: [{ name: 'book', host: HOST, prefix: '/book/', kind: 'non_idempotent', timeoutMs: 1_000, targetLatencyMs: 193, service: 'booking', maxAttempts: 1 }],
    services: [{ name: 'booking', maxConns: 110 }],
    tenants: [{ name: 'huka270', apiKeys: [KEY] }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
  }))
  store.store.put('servers/i-1', JSON.stringify({ service: 'booking', address: `${LOOPBACK}:${(server.address() as AddressInfo).port}`, zone: 'zone-a', version: 'v1', slots: 6, state: 'ready', sequence: 1 }))
  let nodes = [await startGateway('front-1', 'zone-a', store.address, api.address), await startGateway('front-2', 'zone-b', store.address, api.address)]
  for (let turn = 1; turn <= TURNS; turn += 1) {
    await untilSettled(nodes)
    note(`turn ${turn}`)
    const { attempts, restarted } = await stopInTurn(nodes, turn)
    nodes = restarted
    const lost = attempts.filter((attempt) => runs.has(attempt.id) && isLost(attempt))
    if (!attempts.some(({ outcome }) => outcome === 'status 200')) return EXIT.impossible
    for (const { id, node, sentAt, outcome, endedAt } of attempts) note(`${id} to ${node}: sent at ${Math.round(sentAt)} ms, ${runs.has(id) ? 'run by the server' : 'not run'}, ${outcome} at ${Math.round(endedAt)} ms`)
    note(`${attempts.length} requests, ${attempts.filter(({ outcome }) => outcome === 'status 200').length} served; ${lost.length} were passed on to the server and got no answer: ${lost.map(({ id }) => id).join(' ')}`)
    if (lost.length > 0) return EXIT.broken
  }
  return EXIT.held
}

/**
 * Whether a request that was passed on to the server breaks the rule: no complete answer, taken by a node that has got its SIGTERM, later
 * than any request that is excused, and ended within the stop and before its time budget.
 */
function isLost ({ outcome, sentAt, endedAt, stoppedAt }: Attempt): boolean {
  if (outcome.startsWith('status') || endedAt === 0 || stoppedAt === undefined) return false
  return sentAt - stoppedAt > EXCUSED_UNTIL_MS && endedAt - stoppedAt <= GRACE_MS + AFTER_GRACE_MS && endedAt - sentAt < BUDGET_MS
}

/** Waits until both nodes serve, know each other, and are in touch. */
async function untilSettled (nodes: readonly Gateway[]): Promise<void> {
  for (const { name, ready, directory } of nodes) {
    await until(`${name} is ready`, async () => await statusOf(ready, '/ready') === 200)
    await until(`${name} knows both`, async () => (await resolveAddresses(directory, 'zone-a'))?.addresses.length === 2)
  }
  await clock.sleep(CONTACT_MS + 500)
}

/** Stops the nodes in turn, starts each again when it has ended, and sends bookings meanwhile. */
async function stopInTurn (nodes: readonly Gateway[], turn: number): Promise<{ attempts: Attempt[], restarted: Gateway[] }> {
  const byAddress = new Map(nodes.map((node) => [`${LOOPBACK}:${node.front}`, node]))
  const restarted = [...nodes]
  const attempts: Attempt[] = []
  const failed = new Set<string>()
  const stoppedAt = new Map<string, number>()
  /** The caller's addresses: asked for again once they are too old, and kept while there are no new ones. */
  let known = await anyAddresses(nodes)
  let askedAt = clock.now()
  let isAsking = false

  async function refresh (): Promise<void> {
    if (isAsking || clock.now() - askedAt < KEPT_FACTOR * (known?.ttlS ?? 0) * 1_000) return
    isAsking = true
    const answer = await anyAddresses(nodes)
    isAsking = false
    if (answer === undefined) return
    askedAt = clock.now()
    known = answer
    failed.clear()
    note(`the caller has new addresses: ${answer.addresses.map((address) => byAddress.get(address)?.name).join(' ')}`)
  }

  function stopAndStart (node: Gateway, index: number): void {
    note(`SIGTERM to ${node.name}`)
    stoppedAt.set(node.name, clock.now() - since)
    node.process.kill('SIGTERM')
    node.ended.then((how) => {
      note(`${node.name} has ended (${how}) and is started again`)
      stoppedAt.delete(node.name)
      restarted[index] = startAgain(node)
    }).catch(() => {})
  }

  note(`the caller has the addresses: ${known?.addresses.map((address) => byAddress.get(address)?.name).join(' ')}, for ${known?.ttlS} s, which it keeps for ${KEPT_FACTOR} times that`)
  const since = clock.now()
  if (!isCalm) nodes.forEach((node, index) => setTimeout(() => stopAndStart(node, index), index * GAP_MS))
  for (let index = 0; clock.now() - since < OBSERVED_MS; index += 1) {
    refresh().catch(() => {})
    // Both addresses are picked in turn. One that has failed the caller is left out until there are new ones.
    const address = known?.addresses[index % known.addresses.length]
    const node = address === undefined || failed.has(address) ? undefined : byAddress.get(address)
    if (address !== undefined && node !== undefined) {
      const attempt: Attempt = { id: `b${turn}${String(index).padStart(14, '0')}`, node: node.name, sentAt: clock.now() - since, stoppedAt: stoppedAt.get(node.name), outcome: 'no answer', endedAt: 0 }
      attempts.push(attempt)
      send(node.front, attempt, since, () => failed.add(address))
    }
    await clock.sleep(Math.max(0, since + (index + 1) * PERIOD_MS / nodes.length - clock.now()))
  }
  await clock.sleep(1_500)
  return { attempts, restarted }
}

/** Asks the nodes that serve the directory in turn. */
async function anyAddresses (nodes: readonly Gateway[]): Promise<Awaited<ReturnType<typeof resolveAddresses>>> {
  for (const { directory } of nodes) {
    const answer = await resolveAddresses(directory, 'zone-a')
    if (answer !== undefined) return answer
  }
  return undefined
}

runCase(main)
