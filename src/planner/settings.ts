/** Settings of `hornbeamgap-planner`: its location, the services it calls, and properties of the platform. */
import * as z from 'zod'
import { failureDomainSchema, instanceNameSchema, serviceNameSchema } from '../identifiers.js'
import { entrySettingsSchema, platformSettingsSchema } from '../settings.js'

/** A machine class of the cloud and the kind of service it can run. */
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
  /** Group of this deployment's instances in the cloud. Instances of other groups are not touched. */
  group: z.string().min(1),
  /** Machine classes that may be started. Other classes are used only for services that already run on them. */
  machine_classes: z.array(machineClassSchema).default([]),
  /** Services whose engines refuse orders with an outdated fencing number. */
  fencing_checked_by: z.array(serviceNameSchema).default([]),
  /** Pause between two planning cycles, in milliseconds. */
  period_ms: z.number().int().positive().default(10_000)
})
export type PlannerSettings = z.infer<typeof plannerSettingsSchema>
