/** Bad input at the ports of a running node: a clear error that says not-run, and nothing else happens. */
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

/** Sockets that the parts' own connection pools may open meanwhile. */
const POOLED = 16

const clock = createSystemClock()
const messages = [{ role: 'user' as const, content: 'Which resin for 28 degrees of hardness?' }]

/** One bad request; `expected` lists the statuses that tell it clearly. */
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
  ownId = await askWell()
})

after(() => deployment.kill())

const json = fc.jsonValue().map((value) => JSON.stringify(value))
const brokenJson = fc.tuple(json, fc.constantFrom('}', ']', ',', '"', '\u0000')).map(([text, end]) => text + end)
const someText = fc.string({ minLength: 1, maxLength: 200 })
const headerText = fc.stringMatching(/^[!-~]{1,80}$/)
const unknownClass = fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,20}$/).map((name) => `x-${name}`)

function asCaller (part: Partial<BadRequest>): BadRequest {
  return { port: 'caller', method: 'POST', path: '/v1/chat/completions', headers: { authorization: `Bearer ${deployment.key}` }, expected: [400], ...part }
}

function asOperator (part: Partial<BadRequest>): BadRequest {
  return asCaller({ headers: { authorization: `Bearer ${deployment.operatorKey}` }, ...part })
}

const badCallerRequest: fc.Arbitrary<BadRequest> = fc.oneof(
  fc.oneof(json, brokenJson, someText).map((body) => asCaller({ body })),
  unknownClass.map((name) => asCaller({ body: JSON.stringify({ model: name, messages }) })),
  unknownClass.map((name) => asCaller({ path: `/v1/services/${name}/bookings`, body: '{}' })),
  fc.integer({ min: BODY_LIMIT + 1, max: 8 * BODY_LIMIT }).map((size) => asCaller({ body: ' '.repeat(size), expected: [413] })),
  headerText.map((key) => asCaller({ headers: { authorization: `Bearer ${key}` }, body: '{}', expected: [401] })),
  headerText.map((value) => asCaller({ headers: { authorization: value }, body: '{}', expected: [401] })),
  headerText.map((id) => asCaller({ headers: { authorization: `Bearer ${deployment.key}`, 'hornbeamgap-request-id': id }, body: JSON.stringify({ model: 'short-question', messages }) })),
  fc.constant(0).map(() => asCaller({ method: 'GET', path: `/v1/requests/${ownId}`, headers: { authorization: `Bearer ${deployment.otherKey}` }, expected: [404] })),
  fc.constant(0).map(() => asCaller({ headers: { authorization: `Bearer ${deployment.otherKey}`, 'hornbeamgap-request-id': ownId }, body: JSON.stringify({ model: 'short-question', messages }), expected: [404] })),
  fc.constant(0).map(() => asCaller({ headers: { authorization: `Bearer ${deployment.key}`, 'hornbeamgap-request-id': ownId }, body: JSON.stringify({ model: 'short-question', messages, max_tokens: 3 }), expected: [409] })),
  fc.stringMatching(/^[a-z0-9/._-]{1,60}$/).map((path) => asCaller({ method: 'GET', path: `/nowhere/${path}`, expected: [404] }))
)

/** Well-formed, from a stranger. */
const strangeToPeers: fc.Arbitrary<BadRequest> = fc.tuple(fc.constantFrom('agreement.exchange', 'request.locate'), json, headerText)
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
  fc.tuple(operatorPath, headerText).map(([path, key]) => asCaller({ method: 'GET', path, headers: { authorization: `Bearer ${key}` }, expected: [401] })),
  operatorPath.map((path) => asCaller({ method: 'GET', path, expected: [401] })),
  fc.tuple(operatorCall, fc.oneof(json, brokenJson, someText)).map(([call, body]) => asOperator({ ...call, body })),
  operatorCall.map((call) => asOperator({ ...call, body: ' '.repeat(2 * BODY_LIMIT), expected: [413] })),
  headerText.map((text) => asOperator({ method: 'GET', path: `/operator/report?from=${encodeURIComponent(`x${text}`)}` })),
  headerText.map((text) => asOperator({ method: 'GET', path: `/operator/requests/${encodeURIComponent(text)}` }))
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

test('bad requests get a clear error with verdict not-run, and no upstream hears of them', async () => {
  // What a user would see: one organisation's broken program, a stranger with a wrong key, or a guess
  // at another organisation's id. None of it may run, crash the node, or disturb anyone else.
  const begun = deployment.engines[0]!.started.length
  const ran = deployment.plainServices[0]!.ran()
  const checked = fc.asyncProperty(fc.oneof(badCallerRequest, badOperatorRequest, badPeerRequest, strangeToPeers), async (bad) => {
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
  await askWell()
})

test('binary rubbish on each port ends its connection and leaves none behind', async () => {
  // What a user would see: a scanner or a wrong protocol on a port, then a node that answers nobody any
  // more because each such connection keeps a file descriptor.
  const before = openConnections()
  const rubbish = fc.asyncProperty(fc.constantFrom('caller' as const, 'peer' as const), fc.uint8Array({ minLength: 1, maxLength: 2_000 }), async (port, bytes) => {
    await sendBytes(port, bytes)
  })
  await fc.assert(rubbish, { seed: 1, numRuns: 100 })
  await askWell()
  await settled(() => openConnections() <= before + POOLED)
})

test('a connection that sends nothing, or half a request, is closed in time', async () => {
  await Promise.all(['', 'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'].map((start) => waitForEnd('caller', Buffer.from(start))))
})

function addressOf (port: 'caller' | 'peer'): string {
  return port === 'caller' ? deployment.entries[0]!.address : deployment.entries[0]!.parts.membership.nodes()[0]!.peerAddress
}

/** Sends a good request and checks the answer; resolves to its id. */
async function askWell (): Promise<string> {
  const client = createClient({ addresses: deployment.addresses, key: deployment.key })
  try {
    const answer = await client.chat({ class: 'short-question', messages, maxTokens: 4 })
    assert.equal(answer.text, answerWords(messages, 4).join(''))
    return answer.id
  } finally {
    await client.close()
  }
}

/** Sends bytes, half-closes, and waits until the node has ended the connection. */
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

/** Sockets of this process, which holds both ends of each connection. */
function openConnections (): number {
  return process.getActiveResourcesInfo().filter((resource) => resource === 'TCPSocketWrap').length
}

async function settled (condition: () => boolean): Promise<void> {
  const deadline: Milliseconds = clock.now() + 20 * SECOND
  while (!condition() && clock.now() < deadline) await clock.sleep(50)
  assert.ok(condition(), `${openConnections()} connections are left`)
}
