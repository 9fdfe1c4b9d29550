/** What the modules that run requests share. */
import type { Clock } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { RequestId } from '../identifiers.js'
import type { Connections } from '../protocols/http.js'
import type { Random } from '../random.js'
import type { RetryPolicy } from '../request/index.js'
import type { Tracing } from '../tracing.js'
import type { Bookkeeping } from './bookkeeping.js'
import type { Dispatcher } from './dispatcher.js'
import type { NoteJournal } from './note-journal.js'
import type { Permits } from './permits.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** What executions need from their node. */
export interface ExecutionContext {
  readonly directory: UpstreamDirectory
  readonly dispatcher: Dispatcher
  readonly bookkeeping: Bookkeeping
  readonly permits: Permits
  /** Notes for the buddy. */
  readonly notes: NoteJournal
  readonly tracing: Tracing
  readonly retries: RetryPolicy
  /** Connections that are kept and used again. */
  readonly connections: Connections
  /** Connections that serve one exchange each, for what must not meet a silent pooled one. */
  readonly freshConnections: Connections
  readonly configuration: () => Configuration | undefined
  /** Whether the configuration is known well enough to take new work. */
  readonly usable: () => boolean
  /** Whether this node may dispatch the request now; see the home table. */
  readonly mayDispatch: (id: RequestId) => boolean
  readonly clock: Clock
  readonly random: Random
  /** The node's life. */
  readonly signal: AbortSignal
}
