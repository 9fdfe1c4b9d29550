/** How the operators' command reaches the system: any entry node that answers will do. */
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

/** Settings of the command, in a TOML file. */
export const commandSettingsSchema = z.strictObject({
  /** Entry nodes; one that answers is enough. */
  addresses: z.array(addressSchema).min(1),
  /** The operators' bearer key. */
  operator_key: z.string().min(1)
})
export type CommandSettings = z.infer<typeof commandSettingsSchema>

/** Options that every subcommand has. */
export interface ConnectionOptions {
  /** Addresses, separated by commas. */
  readonly address?: string | undefined
  readonly settings?: string | undefined
}

/** The operators' API as the command uses it. */
export interface OperatorClient {
  get<T> (path: string, schema: z.ZodType<T>): Promise<T>
  /** The body must carry a change id, so that a repetition after a lost reply changes nothing. */
  post<T> (path: string, body: object, schema: z.ZodType<T>): Promise<T>
  close (): Promise<void>
}

/** Environment variable with the addresses of entry nodes, separated by commas. */
export const ADDRESS_VARIABLE = 'HORNBEAMGAP_ADDRESSES'

/** Environment variable with the operators' key. */
export const KEY_VARIABLE = 'HORNBEAMGAP_OPERATOR_KEY'

/** Environment variable with the path of the settings file. */
export const SETTINGS_VARIABLE = 'HORNBEAMGAP_SETTINGS'

/** A change answers after all nodes had their time to confirm it; the node itself gives up before this. */
const SILENCE: Milliseconds = 30 * SECOND

const failureSchema = z.object({
  error: z.object({ message: z.string(), type: z.string(), verdict: z.enum(['not-run', 'may-have-run', 'ran']) })
})

/**
 * Settings from options, the environment and the file, in this order.
 *
 * @throws ServingError `invalid-request` that says what is missing
 * @example
 * const settings = resolveSettings({ address: '127.0.0.1:8080' }, process.env)
 */
export function resolveSettings (options: ConnectionOptions, environment: NodeJS.ProcessEnv): CommandSettings {
  const path = options.settings ?? environment[SETTINGS_VARIABLE]
  const file = path === undefined ? undefined : loadSettings(commandSettingsSchema, path)
  const addresses = options.address ?? environment[ADDRESS_VARIABLE]
  const key = environment[KEY_VARIABLE] ?? file?.operator_key
  if (addresses === undefined && file === undefined) throw invalid(`no address: give --address HOST:PORT, ${ADDRESS_VARIABLE} or --settings FILE`)
  if (key === undefined) throw invalid(`no operators' key: set ${KEY_VARIABLE}, or operator_key in --settings FILE`)
  if (addresses === undefined) return { addresses: file?.addresses ?? [], operator_key: key }
  return parseSettings(commandSettingsSchema, `addresses = ${JSON.stringify(String(addresses).split(','))}\noperator_key = ${JSON.stringify(key)}`, '--address')
}

/**
 * @example
 * const client = createOperatorClient(settings)
 * const status = await client.get('/operator/status', statusAnswerSchema)
 */
export function createOperatorClient (settings: CommandSettings): OperatorClient {
  const connections = createConnections(1)

  async function ask<T> (address: Address, method: 'GET' | 'POST', path: string, body: object | undefined, schema: z.ZodType<T>): Promise<T> {
    const headers = { authorization: `Bearer ${settings.operator_key}` }
    const response = await send(connections, { address, method, path, headers, idleTimeout: SILENCE, ...(body === undefined ? {} : { body }) })
    const text = await readBody(response, address)
    if (response.statusCode >= 400) throw failureOf(address, response.statusCode, text)
    const parsed = schema.safeParse(parseJson(text))
    if (parsed.success) return parsed.data
    throw new ServingError(`${address} answers in a form that this command does not know; their versions differ`, { code: 'internal', verdict: 'ran' })
  }

  /** Another node is asked when one cannot be reached or is not ready; a clear answer is final. */
  async function askAny<T> (method: 'GET' | 'POST', path: string, body: object | undefined, schema: z.ZodType<T>): Promise<T> {
    const failures: ServingError[] = []
    for (const address of settings.addresses) {
      try {
        return await ask(address, method, path, body, schema)
      } catch (error) {
        const failure = toServingError(error, 'may-have-run')
        if (!worthAnother(failure)) throw failure
        failures.push(failure)
      }
    }
    throw noneAnswered(method, failures)
  }

  return {
    get: (path, schema) => askAny('GET', path, undefined, schema),
    post: (path, body, schema) => askAny('POST', path, body, schema),
    close: () => connections.destroy()
  }
}

/** @example const changeId = createChangeId() */
export function createChangeId (): string {
  return randomUUID()
}

function worthAnother (failure: ServingError): boolean {
  return ['connection-lost', 'timeout', 'no-configuration', 'stopping', 'platform-unavailable'].includes(failure.code)
}

/** One attempt of a change that may have taken effect makes the whole outcome unknown. */
function noneAnswered (method: 'GET' | 'POST', failures: readonly ServingError[]): ServingError {
  const verdict = method === 'GET' || failures.every((failure) => failure.verdict === 'not-run') ? 'not-run' : 'may-have-run'
  const message = `no entry node answered: ${failures.map((failure) => failure.message).join('; ')}`
  return new ServingError(message, { code: verdict === 'not-run' ? 'platform-unavailable' : 'outcome-unknown', verdict })
}

function failureOf (address: Address, status: number, text: string): ServingError {
  const parsed = failureSchema.safeParse(parseJson(text))
  if (!parsed.success) return new ServingError(`${address}: status ${status}: ${text.slice(0, 200)}`, { code: 'internal', verdict: 'may-have-run' })
  const { message, type, verdict } = parsed.data.error
  return new ServingError(message, { code: type as ServingError['code'], verdict })
}

function invalid (message: string): ServingError {
  return new ServingError(message, { code: 'invalid-request', verdict: 'not-run' })
}
