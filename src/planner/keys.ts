/** Keys of the planner's values in the key-value service. */

/** Desired state: mixes, instances and orders. */
export const DESIRED_STATE_KEY = 'hornbeamgap/planner/desired'

/** Learnt state: demands, capacities, reclaims and refusals. */
export const LEARNED_KEY = 'hornbeamgap/planner/learned'

/** Planner's actions and their reasons, for operators. */
export const HISTORY_KEY = 'hornbeamgap/planner/history'

/** Draining instances. A separate small value, because entry nodes read it often. */
export const LEAVING_KEY = 'hornbeamgap/planner/leaving'
