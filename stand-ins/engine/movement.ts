/** Moves a stream and its cache from one engine stand-in to another over the link. */
import * as z from 'zod'
import { addressSchema } from '../../src/identifiers.js'
import type { Address } from '../../src/identifiers.js'
import { exchangeJson } from '../../src/protocols/http.js'
import type { Connections } from '../../src/protocols/http.js'
import { StandInFailure } from '../http-server.js'
import type { StandInCall } from '../http-server.js'
import type { Link } from './link.js'
import { parseCall, refusal } from './messages.js'
import type { StreamRegistry } from './registry.js'
import { createStream, importSchema, isOpen, setState } from './stream.js'
import type { EngineBody, ImportedStream, Stream } from './stream.js'
import type { EngineFaults, EngineTokens } from './types.js'

/** Handlers of the calls that export and import a stream. */
export interface Movement {
  exportStream (call: StandInCall): Promise<object>
  importStream (call: StandInCall): object
}

/** Dependencies of a movement on its engine. */
export interface MovementContext {
  readonly registry: StreamRegistry
  readonly link: Link
  readonly faults: EngineFaults
  readonly tokens: EngineTokens
  readonly connections: Connections
  readonly signal: AbortSignal
  /** @throws StandInFailure if the engine accepts no new work */
  readonly refuseIfUnable: (body: EngineBody) => void
}

/** Idle timeout of the import call to the target, which is the last step of an export. */
const IMPORT_TIMEOUT_MS = 2_000

const exportSchema = z.object({ handle: z.string(), target: addressSchema })
const importAnswerSchema = z.object({ handle: z.string() })

/**
 * Creates the handlers.
 *
 * @example
 * const movement = createMovement(context)
 */
export function createMovement (context: MovementContext): Movement {
  const { registry, link, faults, signal } = context

  async function sendStream (stream: Stream, target: Address): Promise<string> {
    const imported: ImportedStream = { body: stream.body, offset: stream.sent }
    const exchange = { address: target, method: 'POST' as const, path: '/v1/cache/import', body: imported, idleTimeout: IMPORT_TIMEOUT_MS, signal }
    return (await exchangeJson(context.connections, exchange, importAnswerSchema)).handle
  }

  /** Requeues the stream after a failed export. Its prompt stays prefilled. */
  function resumeLocally (stream: Stream): void {
    if (stream.state !== 'exporting') return
    stream.state = 'waiting'
    registry.enter(stream)
  }

  return {
    exportStream: async (call) => {
      const { handle, target } = parseCall(exportSchema, call)
      const stream = registry.find(handle)
      refuseExport(faults, stream)
      stream.state = 'exporting'
      try {
        const moved = stream.promptTokens + stream.sent
        await link.transfer(moved, signal)
        const targetHandle = await sendStream(stream, target)
        if (stream.state === 'exporting') setState(stream, 'moved')
        if (faults.loseExportReply) call.response.destroy()
        return { tokens: moved, handle: targetHandle }
      } catch (error) {
        resumeLocally(stream)
        throw new StandInFailure(502, { error: { message: `export failed: ${String(error)}`, verdict: 'may-have-run' } })
      }
    },
    importStream: (call) => {
      const { body, offset } = parseCall(importSchema, call)
      context.refuseIfUnable(body)
      const stream = createStream(body, offset, true)
      context.tokens.imported += stream.promptTokens + offset
      registry.enter(stream)
      return { handle: stream.handle }
    }
  }
}

function refuseExport (faults: EngineFaults, stream: Stream): void {
  if (faults.refuseExport) throw refusal(503, 'export refused')
  if (!isOpen(stream)) throw new StandInFailure(409, { error: { message: `the stream is ${stream.state}`, verdict: 'ran' } })
  if (!stream.prepared || stream.prefillRemaining > 0) throw refusal(409, 'the prompt has not been computed yet')
}
