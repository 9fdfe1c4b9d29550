/**
 * HTTP routes of the operators' API: configuration, status, reports, explanations of requests and the planner's
 * history. All of them require the operators' bearer key. One further route gives organisations their own report and
 * requires the organisation's bearer key.
 */
import type { IncomingMessage } from 'node:http'
import type restana from 'restana'
import type * as z from 'zod'
import { plannerHistorySchema } from '../capacity/index.js'
import { withErrorResponse, readBody, sendJson } from '../caller/http.js'
import type { ApiRequest } from '../caller/http.js'
import type { Milliseconds } from '../clock.js'
import { HOUR, SECOND } from '../clock.js'
import { findOrganisation } from '../configuration/index.js'
import { bearerKey, equalHashes, sha256 } from '../credentials.js'
import { requestIdSchema } from '../identifiers.js'
import type { OrganisationName } from '../identifiers.js'
import { HISTORY_KEY } from '../planner/keys.js'
import { statementsOf } from '../report/index.js'
import type { ReportDocument } from '../report/index.js'
import { describeIssue } from '../settings.js'
import { ServingError } from '../verdict.js'
import { applyConfiguration, configurationHistory, rollBackConfiguration } from './configuration.js'
import type { OperatorContext } from './context.js'
import { explainRequest, fleetStatus, writeAllReports } from './inquiry.js'
import { applyRequestSchema, rollbackRequestSchema } from './messages.js'
import { createOrganisationReader, readReport } from './report-reader.js'
import type { ReportRange } from './report-reader.js'

type Service = ReturnType<typeof restana>
type Route = (request: ApiRequest) => Promise<unknown>

/** Number of revisions in the history if the request names no limit. */
const DEFAULT_HISTORY_LIMIT = 20

/** Length of the reported range if the request names no start. */
const DEFAULT_RANGE: Milliseconds = 24 * HOUR

/**
 * Shortest interval between two on-demand writes of all reports. The writes share the key-value service's request rate
 * with other work.
 */
const REFRESH_INTERVAL: Milliseconds = 5 * SECOND

/**
 * Registers the routes of the operators' API, the organisations' report route and the gauges of the node's report.
 *
 * @example
 * registerOperatorApi(service, { ...parts, reports })
 */
export function registerOperatorApi (service: Service, context: OperatorContext): void {
  registerGauges(context)
  const refresh = createReportRefresher(context)
  const operatorRoute = (route: Route) => withErrorResponse(async (request, response) => {
    authenticateOperator(context, request)
    sendJson(response, 200, await route(request))
  })
  service.get('/operator/configuration', operatorRoute(async () => ({ current: context.configuration.current() })))
  service.post('/operator/configuration', operatorRoute(async (request) => applyConfiguration(context, await parseBody(context, request, applyRequestSchema))))
  service.post('/operator/configuration/rollback', operatorRoute(async (request) => rollBackConfiguration(context, await parseBody(context, request, rollbackRequestSchema))))
  service.get('/operator/configuration/history', operatorRoute((request) => configurationHistory(context, numberParameter(request, 'limit') ?? DEFAULT_HISTORY_LIMIT)))
  service.get('/operator/status', operatorRoute(() => fleetStatus(context)))
  service.get('/operator/report', operatorRoute(async (request) => {
    const range = rangeParameter(request, context.clock.wall())
    if (request.query.fresh === 'true') await refresh()
    return readReport(context, range)
  }))
  service.get('/operator/requests/:id', operatorRoute((request) => explainRequest(context, requestIdParameter(request))))
  service.get('/operator/planner', operatorRoute(() => readPlannerHistory(context)))
  registerOrganisationReport(service, context)
}

/**
 * Registers gauges of the ledger and of report writing. `ledger_strays` counts events for requests that were not open
 * and should stay 0.
 */
function registerGauges ({ metrics, ledger, reports }: OperatorContext): void {
  metrics.gauge('ledger_strays', () => ledger.usage().unmatchedEvents)
  metrics.gauge('ledger_cells', () => ledger.usage().cells)
  metrics.gauge('report_writes', () => reports.usage().writes)
  metrics.gauge('report_bytes', () => reports.usage().lastBytes)
}

/**
 * Registers the route of an organisation's own report. It contains only that organisation's sums and names no
 * instances.
 */
function registerOrganisationReport (service: Service, context: OperatorContext): void {
  const readOwnReport = createOrganisationReader(context)
  service.get('/v1/report', withErrorResponse(async (request, response) => {
    const organisation = authenticateOrganisation(context, request)
    sendJson(response, 200, withoutNodeNames(await readOwnReport(organisation)))
  }))
}

/** Removes node names from a report. Overdue reports are listed among the gaps. */
function withoutNodeNames (document: ReportDocument): object {
  const { gaps, overdue, latencyOmitted, targets, ...ownSums } = document
  return {
    ...ownSums,
    gaps: [...gaps, ...overdue].map(({ from, to }) => ({ from, to })),
    statements: statementsOf({ ...ownSums, gaps, overdue, latencyOmitted }, { namesNodes: false })
  }
}

/**
 * Creates a function that has all nodes write their reports. Calls within REFRESH_INTERVAL of the last write share its
 * result.
 */
function createReportRefresher (context: OperatorContext): () => Promise<void> {
  let lastRefresh: { at: Milliseconds, done: Promise<unknown> } | undefined
  return async () => {
    const now = context.clock.now()
    if (lastRefresh === undefined || now - lastRefresh.at >= REFRESH_INTERVAL) lastRefresh = { at: now, done: writeAllReports(context) }
    await lastRefresh.done
  }
}

async function readPlannerHistory ({ keyValue, signal }: OperatorContext): Promise<unknown> {
  const entry = await keyValue.get(HISTORY_KEY, signal)
  return entry === undefined ? { events: [] } : plannerHistorySchema.parse(JSON.parse(entry.value))
}

function authenticateOperator ({ settings }: OperatorContext, request: IncomingMessage): void {
  const key = bearerKey(request.headers.authorization)
  if (key !== undefined && equalHashes(sha256(key), settings.operator_key_sha256)) return
  throw new ServingError('the operators\' bearer key is required', { code: 'unauthenticated', verdict: 'not-run' })
}

function authenticateOrganisation ({ configuration }: OperatorContext, request: IncomingMessage): OrganisationName {
  const current = configuration.current()?.configuration
  if (current === undefined) throw new ServingError('no configuration is known yet', { code: 'no-configuration', verdict: 'not-run', retryAfter: SECOND })
  const key = bearerKey(request.headers.authorization)
  const organisation = key === undefined ? undefined : findOrganisation(current, sha256(key), equalHashes)
  if (organisation === undefined) throw new ServingError('a valid bearer key is required', { code: 'unauthenticated', verdict: 'not-run' })
  return organisation
}

/** @throws ServingError `invalid-request` if the body is not JSON or does not match the schema */
async function parseBody<T> ({ settings }: OperatorContext, request: IncomingMessage, schema: z.ZodType<T>): Promise<T> {
  const bytes = await readBody(request, settings.limits.body_bytes)
  const result = schema.safeParse(parseJson(bytes))
  if (result.success) return result.data
  throw invalidRequest(result.error.issues.map(describeIssue).join('; '))
}

function parseJson (bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'))
  } catch {
    throw invalidRequest('the body is not JSON')
  }
}

function rangeParameter (request: ApiRequest, now: Milliseconds): ReportRange {
  const to = numberParameter(request, 'to') ?? now
  return { from: numberParameter(request, 'from') ?? to - DEFAULT_RANGE, to }
}

/** @throws ServingError `invalid-request` if the query parameter is present but not a non-negative integer */
function numberParameter (request: ApiRequest, name: string): number | undefined {
  const text = request.query[name]
  if (text === undefined) return undefined
  const number = Number(text)
  if (typeof text !== 'string' || !Number.isSafeInteger(number) || number < 0) throw invalidRequest(`${name} must be a whole number`)
  return number
}

function requestIdParameter (request: ApiRequest): ReturnType<typeof requestIdSchema.parse> {
  const result = requestIdSchema.safeParse(request.params.id)
  if (result.success) return result.data
  throw invalidRequest('malformed request id: it must be <incarnation>.<16 to 64 random characters>')
}

function invalidRequest (message: string): ServingError {
  return new ServingError(message, { code: 'invalid-request', verdict: 'not-run' })
}
