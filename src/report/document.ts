/** Schemas of the report document, as the report API returns it to operators and organisations. */
import * as z from 'zod'
import { classNameSchema, incarnationSchema, instanceNameSchema, organisationNameSchema, serviceNameSchema } from '../identifiers.js'

const amount = z.number()
const requests = z.number().int().nonnegative()

/** Achieved latency compared with its target. Durations are in milliseconds. */
export const latencySummarySchema = z.object({
  /** Number of measured answers, including late ones. */
  count: requests,
  median: amount,
  /** Fraction of the answers that the target applies to. */
  quantile: amount,
  /** Duration that this fraction of the answers did not exceed. */
  achieved: amount,
  target: amount.optional()
})
export type LatencySummary = z.infer<typeof latencySummarySchema>

/** An achieved fraction compared with its target. */
export const shareSchema = z.object({ achieved: amount.optional(), target: amount.optional() })
export type Share = z.infer<typeof shareSchema>

/** Numbers of requests. Invariant: `asked` = `served` + `late` + `refused` + `lost` + `unknown` + `open`. */
export const requestSumsSchema = z.object({
  /** All requests received: accepted, or refused before acceptance. */
  asked: requests,
  accepted: requests,
  served: requests,
  late: requests,
  /** Refused before or after acceptance, without having been run. */
  refused: requests,
  lost: requests,
  /** Requests for which it can no longer be determined whether they ran. */
  unknown: requests,
  open: requests,
  /** Accepted requests whose acceptance was never reported, known only from a hand-over. Included in `accepted`. */
  unreported: requests
})
export type RequestSums = z.infer<typeof requestSumsSchema>

/** Results of one class, one organisation, or one combination of both. */
export const reportLineSchema = z.object({
  class: classNameSchema.optional(),
  organisation: organisationNameSchema.optional(),
  service: serviceNameSchema.optional(),
  sums: requestSumsSchema,
  /** Refused requests by failure code. */
  refusals: z.record(z.string(), z.number().int()),
  /** Answered requests (served or late) as a fraction of all that have ended. */
  reliability: shareSchema,
  /** Answers within their targets as a fraction of all answers. */
  inTime: shareSchema,
  firstToken: latencySummarySchema.optional(),
  betweenTokens: latencySummarySchema.optional(),
  wholeAnswer: latencySummarySchema.optional(),
  generatedTokens: z.number().int(),
  recomputedTokens: z.number().int(),
  /** Allocated part of the spend of the service: by computed tokens or, for plain services, by answers. */
  cost: amount.optional(),
  costPerThousandInTime: amount.optional()
})
export type ReportLine = z.infer<typeof reportLineSchema>

/** Numbers of requests of one class in one period. */
export const periodLineSchema = z.object({ period: z.number(), class: classNameSchema, sums: requestSumsSchema })
export type PeriodLine = z.infer<typeof periodLineSchema>

/** Interval between two wall times in which the counts of a node are unknown. */
export const reportGapSchema = z.object({
  instance: instanceNameSchema,
  incarnation: incarnationSchema,
  from: z.number(),
  to: z.number(),
  /**
   * What another node noted about the requests that were open at this node. The sums count these requests as unknown or
   * not at all.
   */
  noted: z.array(z.object({ class: classNameSchema, organisation: organisationNameSchema, resumed: requests, lost: requests, unknown: requests }))
})
export type ReportGap = z.infer<typeof reportGapSchema>

/** A report over one or more periods. */
export const reportDocumentSchema = z.object({
  format: z.literal(1),
  deployment: z.string(),
  /** Wall times of the start and the end, rounded to whole periods. */
  from: z.number(),
  to: z.number(),
  /** Wall time at which the report was made. */
  madeAt: z.number(),
  /** Wall time from which on totals are retained. */
  keptFrom: z.number(),
  /**
   * Wall time up to which all running nodes have reported: the earliest of their latest snapshots. Later requests are
   * included only in part.
   */
  countedUntil: z.number(),
  /** Number of running nodes whose current epoch is included. */
  nodesCounting: z.number().int(),
  total: reportLineSchema,
  classes: z.array(reportLineSchema),
  organisations: z.array(reportLineSchema),
  /** One line per class and organisation. */
  lines: z.array(reportLineSchema),
  periods: z.array(periodLineSchema),
  gaps: z.array(reportGapSchema),
  /** Nodes that are overdue with their snapshots and have not been given up yet. `to` is the time of the report. */
  overdue: z.array(reportGapSchema),
  /** Incarnations whose histograms were omitted because of their size. */
  latencyOmitted: z.array(incarnationSchema),
  /** Targets of the deployment as a whole. */
  targets: z.object({ costPerThousandAnswers: amount, recomputedPerThousandTokens: amount }).optional(),
  spend: amount.optional(),
  /** Spend of services that answered no requests in these periods. */
  spendUnallocated: amount.optional(),
  /** Summary of the report in sentences. */
  statements: z.array(z.string())
})
export type ReportDocument = z.infer<typeof reportDocumentSchema>
