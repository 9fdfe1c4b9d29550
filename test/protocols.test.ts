/** The examples in docs/PROTOCOLS.md are sent to a deployment, and the answers are compared with the documentation. */
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { after, before, test } from 'node:test'
import { request } from 'undici'
import { createSystemClock } from '../src/clock.js'
import { startDeployment } from '../stand-ins/deployment.js'
import type { Deployment } from '../stand-ins/deployment.js'

/** A documented request, and the lines that its answer must contain. */
interface Example {
  readonly sent: string
  readonly expected: readonly string[]
}

/** Minimum number of examples that must be found, so that a changed format of the page fails the test. */
const MIN_EXAMPLES = 10

const clock = createSystemClock()
let deployment: Deployment

before(async () => {
  deployment = await startDeployment({ clock, seed: 4, entries: 1, engines: 1, plainServices: 1, logLevel: 'silent' })
})

after(() => deployment.kill())

test('every example in the protocol documentation is answered as documented', async () => {
  const examples = readExamples()
  assert.ok(examples.length >= MIN_EXAMPLES)
  for (const example of examples) {
    const response = await send(fillPlaceholders(example.sent))
    const [status, ...lines] = example.expected.map(fillPlaceholders)
    assert.equal(response.split('\n')[0], status, example.sent)
    for (const line of lines) {
      assert.ok(matchesPattern(line, response), `${line}\nis not in the answer to\n${example.sent}\n${response}`)
    }
  }
})

function readExamples (): Example[] {
  const page = readFileSync('docs/PROTOCOLS.md', 'utf8')
  return [...page.matchAll(/```http\n([\s\S]*?)\n---\n([\s\S]*?)```/g)].map((match) => ({
    sent: match[1] as string,
    expected: (match[2] as string).split('\n').filter((line) => line !== '')
  }))
}

/** Replaces placeholders by the values of the deployment. */
function fillPlaceholders (text: string): string {
  return text
    .replaceAll('{key}', deployment.key)
    .replaceAll('{otherKey}', deployment.otherKey)
    .replaceAll('{incarnation}', deployment.entries[0]!.incarnation)
}

/** Sends a request and returns the status, the headers and the body of the response. */
async function send (text: string): Promise<string> {
  const [head, body] = text.split('\n\n')
  const [start, ...lines] = (head as string).split('\n')
  const [method, path] = (start as string).split(' ')
  const headers = Object.fromEntries(lines.map((line) => line.split(/: (.*)/).slice(0, 2)))
  const response = await request(`http://${deployment.addresses[0]}${path}`, { method: method as 'GET' | 'POST', headers, body: body ?? null })
  const responseHead = Object.entries(response.headers).map(([name, value]) => `${name}: ${String(value)}`)
  return [response.statusCode, ...responseHead, await response.body.text()].join('\n')
}

/** Whether the response contains the line. An ellipsis in the line stands for any text. */
function matchesPattern (line: string, response: string): boolean {
  const parts = line.split('…').map((part) => part.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
  return new RegExp(parts.join('.*')).test(response)
}
