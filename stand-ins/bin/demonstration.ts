#!/usr/bin/env node
/** `npm start`: entry nodes and stand-ins in one process, a caller's request answered, a report printed. */
import { createClient } from '../../src/client/index.js'
import { createSystemClock } from '../../src/clock.js'
import { runCommand } from '../../src/bin/command-line.js'
import { startDeployment } from '../deployment.js'

runCommand(async () => {
  const clock = createSystemClock()
  const deployment = await startDeployment({ clock, seed: 1, entries: 3, engines: 3, logLevel: 'info' })
  const client = createClient({ addresses: deployment.addresses, key: deployment.key, clock })
  const answer = await client.chat({ class: 'short-question', messages: [{ role: 'user', content: 'Which resin for 28 degrees of hardness?' }], maxTokens: 12 })
  process.stdout.write(`${answer.id}: ${answer.tokens} tokens: ${answer.text}\n`)
  await client.close()
  await deployment.kill()
})
