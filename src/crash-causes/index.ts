/** Detection of prompt parts that crash upstreams. */
export { createCrashCauses, SURVIVAL_TIME } from './crash-causes.js'
export type { CrashCauses, Moment, PartVerdict } from './crash-causes.js'
export { createCrashRecords, mergeEvidence, withoutSingleParts } from './crash-records.js'
export type { CrashRecords } from './crash-records.js'
export { EVENT_SEPARATION, findCauses, MIN_EVENTS, MIN_EVENTS_OF_COMMON_PART } from './find-causes.js'
export type { Cause } from './find-causes.js'
export { crashEvidenceSchema } from './types.js'
export type { CrashEvidence, PartId } from './types.js'
