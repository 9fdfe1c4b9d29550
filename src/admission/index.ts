/** Admission control of one node: order of waiting attempts, choice of the upstream, and refusal under overload. */
export type { AttemptResult, PendingAttempt, Scheduler, SchedulerEffect, SchedulerEvent } from './types.js'
export { createScheduler } from './scheduler.js'
