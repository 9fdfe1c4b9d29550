/** Client of the operators' API for the commands, with its settings. It tries the configured entry nodes in turn. */
import { randomUUID } from 'node:crypto'
import * as z from 'zod'
import type { Milliseconds } from '../../clock.js'
import { SECOND } from '../../clock.js'
import { addressSchema } from '../../identifiers.js'
import type { Address } from '../../identifiers.js'
import { parseJson } from '../../json.js'
import { createConnections, readBody, send } from '../../protocols/http.js'
import { loadSettings, parseSettings } from '../../settings.js'
import { ServingError, toServingError } from '../../verdict.js'

/** Schema of the command's TOML settings file. */
export const commandSettingsSchema = z.strictObject({
  /** Addresses of entry nodes, tried in this order until one answers. */
  addresses: z.array(addressSchema).min(1),
  /** The operators' bearer key. */
  operator_key: z.string().min(1)
})
export type CommandSettings = z.infer<typeof commandSettingsSchema>

/** Connection options of every subcommand. */
export interface ConnectionOptions {
  /** Addresses of entry nodes, separated by commas. */
  readonly address?: string | undefined
  /** Path of the settings file. */
  readonly settings?: string | undefined
}

/** Client of the operators' API. */
export interface OperatorClient {
  /** Sends a GET request and validates the answer. Rejects with a ServingError. */
  get<T> (path: string, schema: z.ZodType<T>): Promise<T>
  /**
   * Sends a POST request and validates the answer. Rejects with a ServingError. The body must contain a change id, so that
   * a repetition after a lost reply has no further effect.
   */
  post<T> (path: string, body: object, schema: z.ZodType<T>): Promise<T>
  /** Closes all connections. */
  close (): Promise<void>
}

/** Environment variable with the addresses of entry nodes, separated by commas. */
export const ADDRESS_VARIABLE = 'HORNBEAMGAP_ADDRESSES'

/** Environment variable with the operators' key. */
export const KEY_VARIABLE = 'HORNBEAMGAP_OPERATOR_KEY'

/** Environment variable with the path of the settings file. */
export const SETTINGS_VARIABLE = 'HORNBEAMGAP_SETTINGS'

/**
 * Idle timeout of a response. A node answers a change only after waiting for the other nodes' confirmations, and that
 * wait is shorter than this.
 */
const IDLE_TIMEOUT: Milliseconds = 30 * SECOND

/** Body of an error response. */
const errorBodySchema = z.object({
  error: z.object({ message: z.string(), type: z.string(), verdict: z.enum(['not-run', 'may-have-run', 'ran']) })
})

/**
 * Determines the settings. Options take precedence over environment variables, and these over the settings file.
 *
 * @throws ServingError `invalid-request` if an address or the key is missing, or if a setting is invalid
 * @example
 * const settings = resolveSettings({ address: '127.0.0.1:8080' }, process.env)
 */
export function resolveSettings (options: ConnectionOptions, environment: NodeJS.ProcessEnv): CommandSettings {
  const path = options.settings ?? environment[SETTINGS_VARIABLE]
  const file = path === undefined ? undefined : loadSettings(commandSettingsSchema, path)
  const addresses = options.address ?? environment[ADDRESS_VARIABLE]
  const key = environment[KEY_VARIABLE] ?? file?.operator_key
  if (addresses === undefined && file === undefined) throw invalidRequest(`no address: give --address HOST:PORT, ${ADDRESS_VARIABLE} or --settings FILE`)
  if (key === undefined) throw invalidRequest(`no operators' key: set ${KEY_VARIABLE}, or operator_key in --settings FILE`)
  if (addresses === undefined) return { addresses: file?.addresses ?? [], operator_key: key }
  return parseSettings(commandSettingsSchema, `addresses = ${JSON.stringify(String(addresses).split(','))}\noperator_key = ${JSON.stringify(key)}`, '--address')
}

/**
 * Creates a client of the operators' API.
 *
 * @example
 * const client = createOperatorClient(settings)
 * const status = await client.get('/operator/status', statusAnswerSchema)
 */
export function createOperatorClient (settings: CommandSettings): OperatorClient {
  const connections = createConnections(1)

  /** Sends a request to one node. */
  async function requestNode<T> (address: Address, method: 'GET' | 'POST', path: string, body: object | undefined, schema: z.ZodType<T>): Promise<T> {
    const headers = { authorization: `Bearer ${settings.operator_key}` }
    const response = await send(connections, { address, method, path, headers, idleTimeout: IDLE_TIMEOUT, ...(body === undefined ? {} : { body }) })
    const text = await readBody(response, address)
    if (response.statusCode >= 400) throw errorFromResponse(address, response.statusCode, text)
    const parsed = schema.safeParse(parseJson(text))
    if (parsed.success) return parsed.data
    throw new ServingError(`${address} answers in a form that this command does not know; their versions differ`, { code: 'internal', verdict: 'ran' })
  }

  /**
   * Tries the nodes in turn. The next node is tried only if one cannot be reached or is not ready. Other errors are
   * final.
   */
  async function requestAnyNode<T> (method: 'GET' | 'POST', path: string, body: object | undefined, schema: z.ZodType<T>): Promise<T> {
    const failures: ServingError[] = []
    for (const address of settings.addresses) {
      try {
        return await requestNode(address, method, path, body, schema)
      } catch (error) {
        const failure = toServingError(error, 'may-have-run')
        if (!isRetryableElsewhere(failure)) throw failure
        failures.push(failure)
      }
    }
    throw allNodesFailed(method, failures)
  }

  return {
    get: (path, schema) => requestAnyNode('GET', path, undefined, schema),
    post: (path, body, schema) => requestAnyNode('POST', path, body, schema),
    close: () => connections.destroy()
  }
}

/**
 * Creates a random change id.
 *
 * @example
 * const changeId = createChangeId()
 */
export function createChangeId (): string {
  return randomUUID()
}

/** Returns whether another node may succeed after this failure. */
function isRetryableElsewhere (failure: ServingError): boolean {
  return ['connection-lost', 'timeout', 'no-configuration', 'stopping', 'platform-unavailable'].includes(failure.code)
}

/**
 * Creates the error for the case that all nodes failed. The outcome of a change is unknown if any attempt may have
 * taken effect.
 */
function allNodesFailed (method: 'GET' | 'POST', failures: readonly ServingError[]): ServingError {
  const verdict = method === 'GET' || failures.every((failure) => failure.verdict === 'not-run') ? 'not-run' : 'may-have-run'
  const message = `no entry node answered: ${failures.map((failure) => failure.message).join('; ')}`
  return new ServingError(message, { code: verdict === 'not-run' ? 'platform-unavailable' : 'outcome-unknown', verdict })
}

/** Creates the error that an error response describes. */
function errorFromResponse (address: Address, status: number, text: string): ServingError {
  const parsed = errorBodySchema.safeParse(parseJson(text))
  if (!parsed.success) return new ServingError(`${address}: status ${status}: ${text.slice(0, 200)}`, { code: 'internal', verdict: 'may-have-run' })
  const { message, type, verdict } = parsed.data.error
  return new ServingError(message, { code: type as ServingError['code'], verdict })
}

function invalidRequest (message: string): ServingError {
  return new ServingError(message, { code: 'invalid-request', verdict: 'not-run' })
}
