/** Admission: order, limits and refusal under load. */
export type { AttemptResult, PendingAttempt, Scheduler, SchedulerEffect, SchedulerEvent } from './types.js'
export { createScheduler } from './scheduler.js'
