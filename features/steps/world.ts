/** What the steps of one scenario share, and its clean-up. */
import { After, setDefaultTimeout, setWorldConstructor, World } from '@cucumber/cucumber'
import type { Client } from '../../src/client/index.js'
import type { Deployment } from '../../stand-ins/deployment.js'

const STEP_TIMEOUT = 60_000

/** State of a scenario that uses a whole deployment. */
export class DeploymentWorld extends World {
  deployment: Deployment | undefined
  client: Client | undefined
}

setWorldConstructor(DeploymentWorld)
setDefaultTimeout(STEP_TIMEOUT)

After(async function (this: DeploymentWorld) {
  await this.client?.close()
  await this.deployment?.kill()
})
