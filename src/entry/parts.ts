/** Components of an entry node by their interfaces, independent of how the components are created. */
import type { Clock } from '../clock.js'
import type { Log } from '../log.js'
import type { EntryMetrics } from '../metrics.js'
import type { Peers } from '../peer/client.js'
import type { KeyValue } from '../protocols/key-value.js'
import type { Random } from '../random.js'
import type { CountingLedger, FactStore } from '../report/index.js'
import type { HomeTable } from '../request/index.js'
import type { EntrySettings } from '../settings.js'
import type { ConfigurationWatcher } from './configuration-watcher.js'
import type { ExecutionContext } from './context.js'
import type { MembershipTracker } from './membership-tracker.js'
import type { Reclaims } from './reclaims.js'
import type { Streams } from './streams.js'
import type { Executions } from './submission.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** Components of an entry node, for its background tasks and for tests. */
export interface EntryParts {
  readonly settings: EntrySettings
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Aborts when the node stops. */
  readonly signal: AbortSignal
  readonly keyValue: KeyValue
  readonly peers: Peers
  readonly directory: UpstreamDirectory
  readonly configuration: ConfigurationWatcher
  readonly membership: MembershipTracker
  readonly context: ExecutionContext
  readonly home: HomeTable
  readonly executions: Executions
  readonly streams: Streams
  readonly reclaims: Reclaims
  readonly ledger: CountingLedger
  readonly facts: FactStore
  readonly metrics: EntryMetrics
}
