/** The operators' configuration: schema, validation, differences, acceptance and delivery. */
export { configurationRevisionSchema, configurationSchema, findClass, findOrganisation, findService } from './schema.js'
export type { Configuration, ConfigurationRevision, DeploymentTarget, RequestClass, Service, Target } from './schema.js'
export { checkConfiguration } from './change.js'
export { describeDifference, difference } from './difference.js'
export type { Difference } from './difference.js'
export { formatRevision, MAX_HISTORY_REVISIONS, parseRevision, proposeRevision, settleWrite } from './accept.js'
export type { ChangeRequest, Settlement, StoredRevision } from './accept.js'
export { DELIVERY_FAN_OUT, splitTargets, timeForSubtree } from './delivery.js'
