/** Where the planner's values lie in the key-value service. */

/** What is wanted: mixes, instances, orders. */
export const DESIRED_STATE_KEY = 'hornbeamgap/planner/desired'

/** What was learnt. */
export const LEARNED_KEY = 'hornbeamgap/planner/learned'

/** What the planner did and why, for operators. */
export const HISTORY_KEY = 'hornbeamgap/planner/history'

/** Instances that are drained: small, so that entry nodes can read it often. */
export const LEAVING_KEY = 'hornbeamgap/planner/leaving'
