/** Dependencies of the operators' API on the entry node that serves it. */
import type { EntryParts } from '../entry/parts.js'
import type { ReportWriter } from '../entry/report-writer.js'

/** Parts of the node, and the writer of its report. */
export interface OperatorContext extends Pick<EntryParts, 'settings' | 'keyValue' | 'configuration' | 'membership' | 'peers' | 'facts' | 'executions' | 'ledger' | 'metrics' | 'clock' | 'signal'> {
  readonly reports: ReportWriter
}
