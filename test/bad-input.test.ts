/** Invalid input at the ports of a running node is answered with a clear error, and has no other effect. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, before, test } from 'node:test'
import fc from 'fast-check'
import { createClient } from '../src/client/index.js'
import { createSystemClock, SECOND } from '../src/clock.js'
import type { Milliseconds } from '../src/clock.js'
import { startDeployment } from '../stand-ins/deployment.js'
import type { Deployment } from '../stand-ins/deployment.js'
import { answerWords } from '../stand-ins/engine.js'

const BODY_LIMIT = 16_384
const PEER_KEY = 'peer-key-for-demonstration'

/** Number of sockets that the connection pools of the deployment may open during the test. */
const MAX_POOLED_SOCKETS = 16

const clock = createSystemClock()
const messages = [{ role: 'user' as const, content: 'Which resin for 28 degrees of hardness?' }]

/** An invalid request, and the status codes that are valid answers to it. */
interface BadRequest {
  readonly port: 'caller' | 'peer'
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string>
  readonly body?: string
  readonly expected: readonly number[]
}

let deployment: Deployment
let ownId: string

before(async () => {
  deployment = await startDeployment({
    clock,
    seed: 1,
    entries: 1,
    engines: 1,
    plainServices: 1,
    logLevel: 'silent',
    entrySettings: { limits: { body_bytes: BODY_LIMIT, header_timeout_ms: SECOND, request_timeout_ms: 2 * SECOND } }
  })
  ownId = await sendValidRequest()
})

after(() => deployment.kill())

const json = fc.jsonValue().map((value) => JSON.stringify(value))
const brokenJson = fc.tuple(json, fc.constantFrom('}', ']', ',', '"', '\u0000')).map(([text, end]) => text + end)
const someText = fc.string({ minLength: 1, maxLength: 200 })
const headerText = fc.stringMatching(/^[!-~]{1,80}$/)
const unknownClass = fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,20}$/).map((name) => `x-${name}`)

function callerRequest (part: Partial<BadRequest>): BadRequest {
  return { port: 'caller', method: 'POST', path: '/v1/chat/completions', headers: { authorization: `Bearer ${deployment.key}` }, expected: [400], ...part }
}

function operatorRequest (part: Partial<BadRequest>): BadRequest {
  return callerRequest({ headers: { authorization: `Bearer ${deployment.operatorKey}` }, ...part })
}

const badCallerRequest: fc.Arbitrary<BadRequest> = fc.oneof(
  fc.oneof(json, brokenJson, someText).map((body) => callerRequest({ body })),
  unknownClass.map((name) => callerRequest({ body: JSON.stringify({ model: name, messages }) })),
  unknownClass.map((name) => callerRequest({ path: `/v1/services/${name}/bookings`, body: '{}' })),
  fc.integer({ min: BODY_LIMIT + 1, max: 8 * BODY_LIMIT }).map((size) => callerRequest({ body: ' '.repeat(size), expected: [413] })),
  headerText.map((key) => callerRequest({ headers: { authorization: `Bearer ${key}` }, body: '{}', expected: [401] })),
  headerText.map((value) => callerRequest({ headers: { authorization: value }, body: '{}', expected: [401] })),
  headerText.map((id) => callerRequest({ headers: { authorization: `Bearer ${deployment.key}`, 'hornbeamgap-request-id': id }, body: JSON.stringify({ model: 'short-question', messages }) })),
  fc.constant(0).map(() => callerRequest({ method: 'GET', path: `/v1/requests/${ownId}`, headers: { authorization: `Bearer ${deployment.otherKey}` }, expected: [404] })),
  fc.constant(0).map(() => callerRequest({ headers: { authorization: `Bearer ${deployment.otherKey}`, 'hornbeamgap-request-id': ownId }, body: JSON.stringify({ model: 'short-question', messages }), expected: [404] })),
  fc.constant(0).map(() => callerRequest({ headers: { authorization: `Bearer ${deployment.key}`, 'hornbeamgap-request-id': ownId }, body: JSON.stringify({ model: 'short-question', messages, max_tokens: 3 }), expected: [409] })),
  fc.stringMatching(/^[a-z0-9/._-]{1,60}$/).map((path) => callerRequest({ method: 'GET', path: `/nowhere/${path}`, expected: [404] }))
)

/** Well-formed requests to the peer port with a wrong key. */
const unauthenticatedPeerRequest: fc.Arbitrary<BadRequest> = fc.tuple(fc.constantFrom('agreement.exchange', 'request.locate'), json, headerText)
  .map(([procedure, body, key]): BadRequest => ({
    port: 'peer',
    method: 'POST',
    path: `/${procedure}`,
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body,
    expected: [401]
  }))

const operatorCall = fc.constantFrom(
  { method: 'POST', path: '/operator/configuration' },
  { method: 'POST', path: '/operator/configuration/rollback' }
)
const operatorPath = fc.constantFrom('/operator/configuration', '/operator/status', '/operator/report', '/operator/planner', '/operator/configuration/history')

const badOperatorRequest: fc.Arbitrary<BadRequest> = fc.oneof(
  fc.tuple(operatorPath, headerText).map(([path, key]) => callerRequest({ method: 'GET', path, headers: { authorization: `Bearer ${key}` }, expected: [401] })),
  operatorPath.map((path) => callerRequest({ method: 'GET', path, expected: [401] })),
  fc.tuple(operatorCall, fc.oneof(json, brokenJson, someText)).map(([call, body]) => operatorRequest({ ...call, body })),
  operatorCall.map((call) => operatorRequest({ ...call, body: ' '.repeat(2 * BODY_LIMIT), expected: [413] })),
  headerText.map((text) => operatorRequest({ method: 'GET', path: `/operator/report?from=${encodeURIComponent(`x${text}`)}` })),
  headerText.map((text) => operatorRequest({ method: 'GET', path: `/operator/requests/${encodeURIComponent(text)}` }))
)

const badPeerRequest: fc.Arbitrary<BadRequest> = fc.tuple(
  fc.constantFrom('agreement.exchange', 'request.submit', 'nowhere', 'agreement.exchange,request.submit'),
  fc.oneof(json, brokenJson, someText),
  fc.constantFrom(PEER_KEY, 'another-key-of-some-length')
).map(([procedure, body, key]): BadRequest => ({
  port: 'peer',
  method: 'POST',
  path: `/${procedure}`,
  headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
  body,
  expected: [400, 401, 403, 404, 413, 415]
}))

test('invalid requests are answered with an error and verdict not-run, and reach no upstream', async () => {
  // Covers faulty clients, wrong keys and attempts to use the request id of another organisation. None of these
  // requests may run, crash the node, or affect other callers.
  const begun = deployment.engines[0]!.started.length
  const ran = deployment.plainServices[0]!.ran()
  const checked = fc.asyncProperty(fc.oneof(badCallerRequest, badOperatorRequest, badPeerRequest, unauthenticatedPeerRequest), async (bad) => {
    const response = await fetch(`http://${addressOf(bad.port)}${bad.path}`, { method: bad.method, headers: bad.headers, ...(bad.body === undefined ? {} : { body: bad.body }) })
    const text = await response.text()
    assert.ok(bad.expected.includes(response.status), `status ${response.status}: ${text}`)
    const { error } = JSON.parse(text) as { error: { message: string, verdict?: string } }
    assert.ok(error.message.length > 0)
    if (bad.port === 'caller') assert.equal(error.verdict, 'not-run', text)
  })
  await fc.assert(checked, { seed: 1, numRuns: 300 })
  assert.equal(deployment.engines[0]!.started.length, begun)
  assert.equal(deployment.plainServices[0]!.ran(), ran)
  await sendValidRequest()
})

test('connections that send random bytes are closed on each port, and none are leaked', async () => {
  // Guards against leaked file descriptors. If each connection of a port scanner or a client with a wrong protocol kept
  // one, the node would stop accepting connections.
  const before = openConnections()
  const garbage = fc.asyncProperty(fc.constantFrom('caller' as const, 'peer' as const), fc.uint8Array({ minLength: 1, maxLength: 2_000 }), async (port, bytes) => {
    await sendBytes(port, bytes)
  })
  await fc.assert(garbage, { seed: 1, numRuns: 100 })
  await sendValidRequest()
  await waitUntil(() => openConnections() <= before + MAX_POOLED_SOCKETS)
})

test('a connection that sends nothing, or an incomplete request, is closed after the time limit', async () => {
  await Promise.all(['', 'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'].map((start) => waitForEnd('caller', Buffer.from(start))))
})

function addressOf (port: 'caller' | 'peer'): string {
  return port === 'caller' ? deployment.entries[0]!.address : deployment.entries[0]!.parts.membership.nodes()[0]!.peerAddress
}

/** Sends a valid request and checks the answer. Resolves to the id of the request. */
async function sendValidRequest (): Promise<string> {
  const client = createClient({ addresses: deployment.addresses, key: deployment.key })
  try {
    const answer = await client.chat({ class: 'short-question', messages, maxTokens: 4 })
    assert.equal(answer.text, answerWords(messages, 4).join(''))
    return answer.id
  } finally {
    await client.close()
  }
}

/** Sends bytes, half-closes the connection, and waits until the node has closed it. */
function sendBytes (port: 'caller' | 'peer', bytes: Uint8Array): Promise<void> {
  return waitForEnd(port, bytes, (socket) => socket.end())
}

function waitForEnd (port: 'caller' | 'peer', bytes: Uint8Array, then: (socket: ReturnType<typeof connect>) => void = () => {}): Promise<void> {
  const [host, number] = addressOf(port).split(':')
  return new Promise((resolve) => {
    const socket = connect(Number(number), host, () => {
      socket.write(bytes, () => then(socket))
    })
    socket.resume()
    socket.on('error', () => {})
    socket.on('close', () => resolve())
  })
}

/** Number of sockets of this process, which holds both ends of each connection. */
function openConnections (): number {
  return process.getActiveResourcesInfo().filter((resource) => resource === 'TCPSocketWrap').length
}

async function waitUntil (condition: () => boolean): Promise<void> {
  const deadline: Milliseconds = clock.now() + 20 * SECOND
  while (!condition() && clock.now() < deadline) await clock.sleep(50)
  assert.ok(condition(), `${openConnections()} connections are left`)
}
