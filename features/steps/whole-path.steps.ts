/** Steps for scenarios with one caller and a deployment without faults. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createClient } from '../../src/client/index.js'
import type { ChatAnswer } from '../../src/client/index.js'
import { createSystemClock } from '../../src/clock.js'
import { startDeployment } from '../../stand-ins/deployment.js'
import { answerWords } from '../../stand-ins/engine.js'
import type { DeploymentWorld } from './world.js'

const QUESTION = [{ role: 'user' as const, content: 'Which valve fits?' }]

interface QuestionWorld extends DeploymentWorld {
  tokens: number
  answer: ChatAnswer
}

Given('a deployment of {int} entry nodes and {int} engines', async function (this: DeploymentWorld, entries: number, engines: number) {
  this.deployment = await startDeployment({ clock: createSystemClock(), seed: 1, entries, engines, logLevel: 'silent' })
  this.client = createClient({ addresses: this.deployment.addresses, key: this.deployment.key })
})

When('a caller asks a short question of {int} tokens', async function (this: QuestionWorld, tokens: number) {
  this.tokens = tokens
  this.answer = await this.client!.chat({ class: 'short-question', messages: QUESTION, maxTokens: tokens })
})

Then('the answer is whole and its own', function (this: QuestionWorld) {
  assert.equal(this.answer.text, answerWords(QUESTION, this.tokens).join(''))
})
