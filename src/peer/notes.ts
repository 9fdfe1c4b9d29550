/** Procedure by which the home of requests sends notes about its open requests to its buddy. */
import { noteBatchSchema } from '../request/index.js'
import type { NoteBatch } from '../request/index.js'
import { peerProcedure, peerRouter } from './procedure.js'

/** Handler of note batches at a buddy. */
export interface NoteHandlers {
  /**
   * Stores the notes of a batch.
   *
   * @returns `complete` is false if an earlier batch is missing; the home must then send all notes again
   */
  receive (batch: NoteBatch): { complete: boolean }
}

/**
 * Creates the router of the note procedure.
 *
 * @example
 * noteProcedures({ receive: (batch) => ({ complete: noteReceiver.receive(batch, clock.now()) }) })
 */
export function noteProcedures (handlers: NoteHandlers) {
  return peerRouter({
    receive: peerProcedure.input(noteBatchSchema).mutation(({ input }) => handlers.receive(input))
  })
}
