/** Context shared by the modules that run requests. */
import type { Clock } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { RequestId } from '../identifiers.js'
import type { Connections } from '../protocols/http.js'
import type { PlainConnections } from '../protocols/plain-connections.js'
import type { Random } from '../random.js'
import type { RetryPolicy } from '../request/index.js'
import type { Tracing } from '../tracing.js'
import type { Bookkeeping } from './bookkeeping.js'
import type { Dispatcher } from './dispatcher.js'
import type { NoteJournal } from './note-journal.js'
import type { Permits } from './permits.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** Services and state of the node that executions use. */
export interface ExecutionContext {
  readonly directory: UpstreamDirectory
  readonly dispatcher: Dispatcher
  readonly bookkeeping: Bookkeeping
  readonly permits: Permits
  /** Notes about open requests, which are sent to the buddy node so that it can recover them if this node dies. */
  readonly notes: NoteJournal
  readonly tracing: Tracing
  readonly retryPolicy: RetryPolicy
  /** Pooled connections. */
  readonly connections: Connections
  /** Connections that serve one exchange each, for calls that must not use a pooled connection that may be dead. */
  readonly unpooledConnections: Connections
  readonly plainConnections: PlainConnections
  readonly configuration: () => Configuration | undefined
  /** Whether the configuration is known with enough certainty to accept new requests. */
  readonly usable: () => boolean
  /** Whether this node may dispatch the request now. See `HomeTable.mayDispatch`. */
  readonly mayDispatch: (id: RequestId) => boolean
  readonly clock: Clock
  readonly random: Random
  /** Aborts when the node stops. */
  readonly signal: AbortSignal
}
