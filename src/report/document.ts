/** The report as operators and organisations receive it: the JSON contract of the report's API. */
import * as z from 'zod'
import { classNameSchema, incarnationSchema, instanceNameSchema, organisationNameSchema, serviceNameSchema } from '../identifiers.js'

const amount = z.number()
const requests = z.number().int().nonnegative()

/** Achieved latency against its target; durations in milliseconds. */
export const latencySummarySchema = z.object({
  /** Answers measured: those served or late. */
  count: requests,
  median: amount,
  /** Share of answers that the target speaks of. */
  quantile: amount,
  /** Duration that this share of the answers did not exceed. */
  achieved: amount,
  target: amount.optional()
})
export type LatencySummary = z.infer<typeof latencySummarySchema>

/** An achieved share against its target. */
export const shareSchema = z.object({ achieved: amount.optional(), target: amount.optional() })
export type Share = z.infer<typeof shareSchema>

/** Sums of requests. `asked` = `served` + `late` + `refused` + `lost` + `unknown` + `open`, always. */
export const requestSumsSchema = z.object({
  /** Accepted or refused. */
  asked: requests,
  accepted: requests,
  served: requests,
  late: requests,
  /** Not run; before or after acceptance. */
  refused: requests,
  lost: requests,
  /** Nobody can tell any more whether these ran. */
  unknown: requests,
  open: requests,
  /** Accepted requests whose acceptance was never reported and is known from a hand-over; part of `accepted`. */
  unreported: requests
})
export type RequestSums = z.infer<typeof requestSumsSchema>

/** What one class, one organisation, or both together got. */
export const reportLineSchema = z.object({
  class: classNameSchema.optional(),
  organisation: organisationNameSchema.optional(),
  service: serviceNameSchema.optional(),
  sums: requestSumsSchema,
  refusals: z.record(z.string(), z.number().int()),
  /** Served or late, out of all that have ended. */
  reliability: shareSchema,
  /** Served, out of served and late. */
  inTime: shareSchema,
  firstToken: latencySummarySchema.optional(),
  betweenTokens: latencySummarySchema.optional(),
  wholeAnswer: latencySummarySchema.optional(),
  generatedTokens: z.number().int(),
  recomputedTokens: z.number().int(),
  /** Share of the service's spend, by tokens computed or, for plain services, by answers. */
  cost: amount.optional(),
  costPerThousandInTime: amount.optional()
})
export type ReportLine = z.infer<typeof reportLineSchema>

/** Requests of one class in one period. */
export const periodLineSchema = z.object({ period: z.number(), class: classNameSchema, sums: requestSumsSchema })
export type PeriodLine = z.infer<typeof periodLineSchema>

/** Counts of a node between two wall times are unknown. */
export const reportGapSchema = z.object({
  instance: instanceNameSchema,
  incarnation: incarnationSchema,
  from: z.number(),
  to: z.number(),
  /** What another node's notes tell of requests that were open there. The sums count these as unknown or not at all. */
  noted: z.array(z.object({ class: classNameSchema, organisation: organisationNameSchema, resumed: requests, lost: requests, unknown: requests }))
})
export type ReportGap = z.infer<typeof reportGapSchema>

/** A report over one or more periods, as operators and organisations read it. */
export const reportDocumentSchema = z.object({
  format: z.literal(1),
  deployment: z.string(),
  /** Wall times; whole periods. */
  from: z.number(),
  to: z.number(),
  madeAt: z.number(),
  /** Totals are kept from this time on. */
  keptFrom: z.number(),
  /** Oldest last word of a node that is counting: what came after it at that node is not in here yet. */
  countedUntil: z.number(),
  nodesCounting: z.number().int(),
  total: reportLineSchema,
  classes: z.array(reportLineSchema),
  organisations: z.array(reportLineSchema),
  lines: z.array(reportLineSchema),
  periods: z.array(periodLineSchema),
  gaps: z.array(reportGapSchema),
  /** Nodes that are overdue and not given up yet; the gap goes on. */
  overdue: z.array(reportGapSchema),
  /** Incarnations whose histograms were left out for their size. */
  latencyOmitted: z.array(incarnationSchema),
  /** Targets of the deployment as a whole. */
  targets: z.object({ costPerThousandAnswers: amount, recomputedPerThousandTokens: amount }).optional(),
  spend: amount.optional(),
  /** Spend of services that did no work in these periods. */
  spendUnallocated: amount.optional(),
  /** What a reader must know, in sentences. */
  statements: z.array(z.string())
})
export type ReportDocument = z.infer<typeof reportDocumentSchema>
