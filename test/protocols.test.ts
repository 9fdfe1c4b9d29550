/** The examples of docs/PROTOCOLS.md, sent to a deployment as they stand there. */
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { after, before, test } from 'node:test'
import { request } from 'undici'
import { createSystemClock } from '../src/clock.js'
import { startDeployment } from '../stand-ins/deployment.js'
import type { Deployment } from '../stand-ins/deployment.js'

interface Example {
  readonly sent: string
  readonly expected: readonly string[]
}

const FEWEST_EXAMPLES = 10

const clock = createSystemClock()
let deployment: Deployment

before(async () => {
  deployment = await startDeployment({ clock, seed: 4, entries: 1, engines: 1, plainServices: 1, logLevel: 'silent' })
})

after(() => deployment.kill())

test('every example of the protocols\' page is answered as it says', async () => {
  const examples = readExamples()
  assert.ok(examples.length >= FEWEST_EXAMPLES)
  for (const example of examples) {
    const response = await send(fill(example.sent))
    const [status, ...lines] = example.expected.map(fill)
    assert.equal(response.split('\n')[0], status, example.sent)
    for (const line of lines) {
      assert.ok(occurs(line, response), `${line}\nis not in the answer to\n${example.sent}\n${response}`)
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

function fill (text: string): string {
  return text
    .replaceAll('{key}', deployment.key)
    .replaceAll('{otherKey}', deployment.otherKey)
    .replaceAll('{incarnation}', deployment.entries[0]!.incarnation)
}

async function send (text: string): Promise<string> {
  const [head, body] = text.split('\n\n')
  const [start, ...lines] = (head as string).split('\n')
  const [method, path] = (start as string).split(' ')
  const headers = Object.fromEntries(lines.map((line) => line.split(/: (.*)/).slice(0, 2)))
  const response = await request(`http://${deployment.addresses[0]}${path}`, { method: method as 'GET' | 'POST', headers, body: body ?? null })
  const responseHead = Object.entries(response.headers).map(([name, value]) => `${name}: ${String(value)}`)
  return [response.statusCode, ...responseHead, await response.body.text()].join('\n')
}

function occurs (line: string, response: string): boolean {
  const parts = line.split('…').map((part) => part.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
  return new RegExp(parts.join('.*')).test(response)
}
