/** Interface through which the opening and closing of executions is recorded for the buddy of this node. */
import type { Execution } from './execution.js'

/** Records open executions, which the home sends to its buddy as notes. */
export interface NoteJournal {
  /** Records that an accepted execution has started, or that its stream has a handle. */
  open (execution: Execution): void
  /** Records that an execution has ended. */
  closed (execution: Execution): void
}
