/** Quotas of organisations and the retry budget, both shared by all nodes without a call at each request. */
export { createQuotaLimiter } from './limiter.js'
export type { QuotaDecision, QuotaDemand, QuotaLimiter } from './limiter.js'
export { createRetryBudget } from './retry-budget.js'
export type { RetryBudget, RetryBudgetOptions } from './retry-budget.js'
export { createTokenBucket } from './token-bucket.js'
export type { TokenBucket } from './token-bucket.js'
export { EVEN_PART, shareOf, UNKNOWN_NODES } from './share.js'
export { createDemandRates } from './demand.js'
