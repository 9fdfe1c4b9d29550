/** What keeps the notes of open requests is told. */
import type { Execution } from './execution.js'

/** Tells a home's buddy what is open. */
export interface NoteJournal {
  /** An accepted execution began, or its stream was named. */
  open (execution: Execution): void
  closed (execution: Execution): void
}
