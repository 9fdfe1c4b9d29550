/** Where streams began, so that they are resumed at the same version of the same service. */
export { ASKED_HOLDERS, pickHolders, RECORD_HOLDERS } from './holders.js'
export type { HolderCandidate } from './holders.js'
export { createOriginRecords } from './records.js'
export type { OriginRecords } from './records.js'
export { createServiceVersions } from './service-versions.js'
export type { ServiceVersions, VersionFacts } from './service-versions.js'
export { MAX_STREAM_ID_LENGTH, streamIdSchema, streamOriginSchema } from './types.js'
export type { StreamId, StreamOrigin } from './types.js'
