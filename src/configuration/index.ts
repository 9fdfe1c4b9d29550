/** The operators' configuration: its schema, the check of a document, differences and acceptance. */
export { configurationRevisionSchema, configurationSchema, findClass, findOrganisation, findService } from './schema.js'
export type { Configuration, ConfigurationRevision, DeploymentTarget, RequestClass, Service, Target } from './schema.js'
export { checkConfiguration } from './change.js'
export { describeDifference, difference } from './difference.js'
export type { Difference } from './difference.js'
export { formatRevision, HISTORY_KEPT, parseRevision, propose, settle } from './accept.js'
export type { ChangeRequest, Settlement, StoredRevision } from './accept.js'
export { DELIVERY_FAN_OUT, partTargets, timeBelow } from './delivery.js'
