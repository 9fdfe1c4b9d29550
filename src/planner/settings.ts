/** Settings of `hornbeamgap-planner`: where it is, whom it talks to, and facts about the platform. */
import * as z from 'zod'
import { failureDomainSchema, instanceNameSchema, serviceNameSchema } from '../identifiers.js'
import { entrySettingsSchema, platformSettingsSchema } from '../settings.js'

/** What a machine class of the cloud can run. */
const machineClassSchema = z.strictObject({
  name: z.string().min(1),
  runs: z.enum(['model', 'plain'])
})

/** Settings of `hornbeamgap-planner`. */
export const plannerSettingsSchema = z.strictObject({
  instance: instanceNameSchema,
  failure_domain: failureDomainSchema,
  log_level: entrySettingsSchema.shape.log_level,
  platform: platformSettingsSchema,
  /** Name under which the cloud keeps this deployment's instances; no others are touched. */
  group: z.string().min(1),
  /** Machine classes that may be bought; a class that is not named is used only where a service already runs on it. */
  machine_classes: z.array(machineClassSchema).default([]),
  /** Services whose engines refuse orders with an old fencing number. */
  fencing_checked_by: z.array(serviceNameSchema).default([]),
  /** Pause between two looks, in milliseconds. */
  period_ms: z.number().int().positive().default(10_000)
})
export type PlannerSettings = z.infer<typeof plannerSettingsSchema>
