/** Streams and their origins. */
import * as z from 'zod'

/** Longer ids of callers are not kept. */
export const MAX_STREAM_ID_LENGTH = 200

/** Id of the caller's attempt that brought the first event of a stream. */
export const streamIdSchema = z.string().min(1).max(MAX_STREAM_ID_LENGTH)
export type StreamId = z.infer<typeof streamIdSchema>

/** What sent the first event of a stream, and alone can continue it. */
export const streamOriginSchema = z.object({
  service: z.string(),
  /** Version of the upstream's software. */
  version: z.string()
})
export type StreamOrigin = z.infer<typeof streamOriginSchema>
