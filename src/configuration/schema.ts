/**
 * Schema of the configuration that operators write: services, organisations, and request classes with their targets.
 *
 * It contains targets only. Weights, addresses and instances are chosen by the system and are refused with an
 * explanation.
 */
import * as z from 'zod'
import { classNameSchema, organisationNameSchema, serviceNameSchema } from '../identifiers.js'
import type { ClassName, OrganisationName, ServiceName } from '../identifiers.js'

/** How fast and how reliably the requests of a class must be answered. Durations are in milliseconds. */
export const targetSchema = z.strictObject({
  /** Time to the first token. Only for services of kind `model`. */
  first_token_ms: z.number().positive().optional(),
  /** Mean time between tokens. Only for services of kind `model`. */
  between_tokens_ms: z.number().positive().optional(),
  /** Time to the end of the answer. */
  whole_answer_ms: z.number().positive(),
  /** Fraction of answers that must meet the times above. */
  quantile: z.number().gt(0).lt(1),
  /** Fraction of requests that must be served, which means neither refused nor lost. */
  reliability: z.number().gt(0).lt(1)
})
export type Target = z.infer<typeof targetSchema>

/** A request class, the service that serves it, and its target. */
export const classSchema = z.strictObject({
  name: classNameSchema,
  service: serviceNameSchema,
  /** False for requests that must run at most once, such as bookings and orders. */
  idempotent: z.boolean(),
  target: targetSchema
})
export type RequestClass = z.infer<typeof classSchema>

/** Interchangeable upstreams: engines of one model, or processes of one plain service. */
export const serviceSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('model'),
    name: serviceNameSchema,
    model: z.string().min(1),
    adapters: z.array(z.string().min(1)).default([])
  }),
  z.strictObject({
    kind: z.literal('plain'),
    name: serviceNameSchema
  })
])
export type Service = z.infer<typeof serviceSchema>

/** SHA-256 of a bearer key in hexadecimal. Keys themselves are never stored. */
const keyHashSchema = z.string().regex(/^[0-9a-f]{64}$/, 'must be the hex SHA-256 of a key')

/** An organisation that sends requests, with the hashes of its keys. */
export const organisationSchema = z.strictObject({
  name: organisationNameSchema,
  key_sha256: z.array(keyHashSchema).min(1)
})
export type Organisation = z.infer<typeof organisationSchema>

/**
 * Targets of the whole deployment. They determine what is preferred where the targets of the classes leave a choice.
 */
export const deploymentTargetSchema = z.strictObject({
  /** Maximum desired cost of 1,000 answers within target, in the cloud's currency. */
  cost_per_thousand_answers: z.number().positive(),
  /** Maximum desired number of tokens recomputed after reclaims, per 1,000 generated tokens. */
  recomputed_per_thousand_tokens: z.number().positive()
})
export type DeploymentTarget = z.infer<typeof deploymentTargetSchema>

/** The document that operators write. */
export const configurationSchema = z.strictObject({
  deployment: z.strictObject({ name: z.string().min(1), target: deploymentTargetSchema }),
  services: z.array(serviceSchema).min(1),
  organisations: z.array(organisationSchema).min(1),
  classes: z.array(classSchema).min(1)
})
export type Configuration = z.infer<typeof configurationSchema>

/** A revision of the configuration, as stored in the key-value store. */
export const configurationRevisionSchema = z.strictObject({
  /** Number of the revision. Increases by one with every change. */
  revision: z.number().int().positive(),
  /** Created by the operator's command. Identifies the change when a write of unknown outcome is settled by a read. */
  changeId: z.string().min(8),
  author: z.string(),
  reason: z.string(),
  /** Wall time of the change, shown to people. */
  changedAt: z.number(),
  configuration: configurationSchema
})
export type ConfigurationRevision = z.infer<typeof configurationRevisionSchema>

/**
 * Finds a request class by its name.
 *
 * @returns undefined if there is no such class
 * @example
 * findClass(configuration, classNameSchema.parse('booking'))?.idempotent // false
 */
export function findClass (configuration: Configuration, name: ClassName): RequestClass | undefined {
  return configuration.classes.find((candidate) => candidate.name === name)
}

/**
 * Finds a service by its name.
 *
 * @returns undefined if there is no such service
 * @example
 * findService(configuration, requestClass.service)?.kind // 'model'
 */
export function findService (configuration: Configuration, name: ServiceName): Service | undefined {
  return configuration.services.find((candidate) => candidate.name === name)
}

/**
 * Finds the organisation that a key belongs to.
 *
 * @param keyHash SHA-256 of the presented key in hexadecimal
 * @param equal constant-time comparison of two hexadecimal hashes
 * @returns name of the organisation, or undefined if the key is unknown
 * @example
 * findOrganisation(configuration, sha256(key), constantTimeEqual)
 */
export function findOrganisation (configuration: Configuration, keyHash: string, equal: (left: string, right: string) => boolean): OrganisationName | undefined {
  let found: OrganisationName | undefined
  for (const organisation of configuration.organisations) {
    for (const known of organisation.key_sha256) {
      if (equal(known, keyHash)) found = organisation.name
    }
  }
  return found
}
