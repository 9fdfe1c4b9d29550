/** State shared by the steps of a scenario, and its clean-up. */
import { After, setDefaultTimeout, setWorldConstructor, World } from '@cucumber/cucumber'
import type { Client } from '../../src/client/index.js'
import type { Deployment } from '../../stand-ins/deployment.js'

const STEP_TIMEOUT_MS = 60_000

/** State of a scenario that runs in a complete deployment. */
export class DeploymentWorld extends World {
  deployment: Deployment | undefined
  client: Client | undefined
}

setWorldConstructor(DeploymentWorld)
setDefaultTimeout(STEP_TIMEOUT_MS)

After(async function (this: DeploymentWorld) {
  await this.client?.close()
  await this.deployment?.kill()
})
