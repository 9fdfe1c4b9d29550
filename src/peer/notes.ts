/** Procedure for notes about open requests, from a home to its buddy. */
import { noteBatchSchema } from '../request/index.js'
import type { NoteBatch } from '../request/index.js'
import { peerProcedure, peerRouter } from './procedure.js'

/** What a buddy does with a batch. */
export interface NoteHandlers {
  /** `complete` is false when a batch before this one is missing: the home must tell all again. */
  receive (batch: NoteBatch): { complete: boolean }
}

/** @example noteProcedures({ receive: (batch) => ({ complete: keeper.receive(batch, clock.now()) }) }) */
export function noteProcedures (handlers: NoteHandlers) {
  return peerRouter({
    receive: peerProcedure.input(noteBatchSchema).mutation(({ input }) => handlers.receive(input))
  })
}
