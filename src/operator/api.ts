/**
 * The operators' API, behind the operators' bearer key: configuration, status, reports, explanations
 * and what the planner did. Organisations read their own report through the callers' key.
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

const DEFAULT_HISTORY = 20
const DEFAULT_RANGE: Milliseconds = 24 * HOUR

/** All nodes write their reports at most this often on demand; the key-value service's rate is shared. */
const FRESH_PAUSE: Milliseconds = 5 * SECOND

/**
 * Registers the routes.
 *
 * @example
 * registerOperatorApi(service, { ...parts, reports })
 */
export function registerOperatorApi (service: Service, context: OperatorContext): void {
  registerGauges(context)
  const refresh = createRefresh(context)
  const operators = (route: Route) => withErrorResponse(async (request, response) => {
    authenticateOperator(context, request)
    sendJson(response, 200, await route(request))
  })
  service.get('/operator/configuration', operators(async () => ({ current: context.configuration.current() })))
  service.post('/operator/configuration', operators(async (request) => applyConfiguration(context, await parsed(context, request, applyRequestSchema))))
  service.post('/operator/configuration/rollback', operators(async (request) => rollBackConfiguration(context, await parsed(context, request, rollbackRequestSchema))))
  service.get('/operator/configuration/history', operators((request) => configurationHistory(context, numberIn(request, 'limit') ?? DEFAULT_HISTORY)))
  service.get('/operator/status', operators(() => fleetStatus(context)))
  service.get('/operator/report', operators(async (request) => {
    const range = rangeIn(request, context.clock.wall())
    if (request.query.fresh === 'true') await refresh()
    return readReport(context, range)
  }))
  service.get('/operator/requests/:id', operators((request) => explainRequest(context, idIn(request))))
  service.get('/operator/planner', operators(() => plannerHistory(context)))
  registerOrganisationReport(service, context)
}

/** What the node's monitoring sees of its report. Strays should stay 0: events for requests that were not open. */
function registerGauges ({ metrics, ledger, reports }: OperatorContext): void {
  metrics.gauge('ledger_strays', () => ledger.usage().unmatchedEvents)
  metrics.gauge('ledger_cells', () => ledger.usage().cells)
  metrics.gauge('report_writes', () => reports.usage().writes)
  metrics.gauge('report_bytes', () => reports.usage().lastBytes)
}

/** An organisation reads its own sums and nobody else's; instances are not named to it. */
function registerOrganisationReport (service: Service, context: OperatorContext): void {
  const read = createOrganisationReader(context)
  service.get('/v1/report', withErrorResponse(async (request, response) => {
    const organisation = authenticateOrganisation(context, request)
    sendJson(response, 200, withoutNodes(await read(organisation)))
  }))
}

function withoutNodes (document: ReportDocument): object {
  const { gaps, overdue, latencyOmitted, targets, ...own } = document
  return {
    ...own,
    gaps: [...gaps, ...overdue].map(({ from, to }) => ({ from, to })),
    statements: statementsOf({ ...own, gaps, overdue, latencyOmitted }, { namesNodes: false })
  }
}

function createRefresh (context: OperatorContext): () => Promise<void> {
  let last: { at: Milliseconds, done: Promise<unknown> } | undefined
  return async () => {
    const now = context.clock.now()
    if (last === undefined || now - last.at >= FRESH_PAUSE) last = { at: now, done: writeAllReports(context) }
    await last.done
  }
}

async function plannerHistory ({ keyValue, signal }: OperatorContext): Promise<unknown> {
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

async function parsed<T> ({ settings }: OperatorContext, request: IncomingMessage, schema: z.ZodType<T>): Promise<T> {
  const bytes = await readBody(request, settings.limits.body_bytes)
  const result = schema.safeParse(parseJson(bytes))
  if (result.success) return result.data
  throw invalid(result.error.issues.map(describeIssue).join('; '))
}

function parseJson (bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'))
  } catch {
    throw invalid('the body is not JSON')
  }
}

function rangeIn (request: ApiRequest, now: Milliseconds): ReportRange {
  const to = numberIn(request, 'to') ?? now
  return { from: numberIn(request, 'from') ?? to - DEFAULT_RANGE, to }
}

function numberIn (request: ApiRequest, name: string): number | undefined {
  const text = request.query[name]
  if (text === undefined) return undefined
  const number = Number(text)
  if (typeof text !== 'string' || !Number.isSafeInteger(number) || number < 0) throw invalid(`${name} must be a whole number`)
  return number
}

function idIn (request: ApiRequest): ReturnType<typeof requestIdSchema.parse> {
  const result = requestIdSchema.safeParse(request.params.id)
  if (result.success) return result.data
  throw invalid('malformed request id: it must be <incarnation>.<16 to 64 random characters>')
}

function invalid (message: string): ServingError {
  return new ServingError(message, { code: 'invalid-request', verdict: 'not-run' })
}
