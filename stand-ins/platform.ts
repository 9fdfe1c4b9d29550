/** Starts a complete stand-in platform with its upstreams from a description. */
import { startOrderSchema } from '../src/capacity/index.js'
import type { Clock } from '../src/clock.js'
import type { Random } from '../src/random.js'
import { serveCloud } from './cloud.js'
import type { CloudStandIn } from './cloud.js'
import { createFleet, initialInstance } from './fleet.js'
import type { Fleet } from './fleet.js'
import { serveInstanceList } from './instance-list.js'
import type { InstanceListStandIn } from './instance-list.js'
import { serveKeyValue } from './key-value.js'
import type { KeyValueStandIn } from './key-value.js'
import type { PlatformSample, UpstreamGroup } from './platform-sample.js'
import { createBookingLedger } from './plain-service.js'
import type { BookingLedger } from './plain-service.js'
import { serveWeightStore } from './weight-store.js'
import type { WeightStoreStandIn } from './weight-store.js'

/** A running platform. */
export interface Platform {
  readonly keyValue: KeyValueStandIn
  readonly instanceList: InstanceListStandIn
  readonly cloud: CloudStandIn
  readonly weightStore: WeightStoreStandIn
  readonly fleet: Fleet
  /** Bookings that have run, over all plain services. */
  readonly ledger: BookingLedger
  kill (): Promise<void>
}

/**
 * Starts the services of a platform and its initial upstreams.
 *
 * @example
 * const platform = await startPlatform({ clock, random, sample })
 */
export async function startPlatform (options: { clock: Clock, random: Random, sample: PlatformSample }): Promise<Platform> {
  const { clock, random, sample } = options
  const lifetime = new AbortController()
  const ledger = createBookingLedger()
  const keyValue = await serveKeyValue({ port: sample.ports.key_value, clock, random })
  const instanceList = await serveInstanceList({ port: sample.ports.instance_list, clock, random, lag: sample.instance_list_lag_ms })
  const weightStore = await serveWeightStore({ port: sample.ports.weight_store, clock, random, shape: weightStoreContents(sample) })
  const boots: Promise<void>[] = []
  const cloud = await serveCloud({
    port: sample.ports.cloud,
    clock,
    random,
    offers: sample.offers.map((offer) => ({ failureDomain: offer.failure_domain, machineClass: offer.machine_class, market: offer.market, pricePerHour: offer.price_per_hour })),
    startTime: sample.machine_start_ms,
    events: {
      started: (instance) => { boots.push(fleet.boot(instance).catch(() => {})) },
      ended: (instance) => fleet.end(instance)
    }
  })
  const fleet = createFleet({
    clock,
    random,
    groups: sample.upstreams,
    group: sample.group,
    cloud: () => cloud.state,
    instanceList,
    weightStore,
    ledger,
    serverStart: sample.server_start_ms,
    signal: lifetime.signal
  })
  startUpstreams(sample, cloud)
  if (sample.machine_start_ms === 0) await Promise.all(boots)

  return {
    keyValue,
    instanceList,
    cloud,
    weightStore,
    fleet,
    ledger,
    kill: async () => {
      lifetime.abort()
      await Promise.all([keyValue, instanceList, weightStore, cloud, fleet].map((standIn) => standIn.kill()))
    }
  }
}

/** Starts the instances of each service in the failure domains in turn, as operators place them. */
function startUpstreams (sample: PlatformSample, cloud: CloudStandIn): void {
  for (const group of sample.upstreams) {
    for (let index = 0; index < group.count; index += 1) {
      const answer = cloud.state.start(startOrderSchema.parse({
        name: initialInstance(upstreamPrefix(sample, group), index + 1),
        group: sample.group,
        service: group.service,
        failureDomain: sample.failure_domains[index % sample.failure_domains.length],
        machineClass: group.machine_class,
        market: group.market
      }))
      if (answer.kind !== 'started') throw new Error(`the cloud did not start a ${group.market} ${group.machine_class} instance for ${group.service}`)
    }
  }
}

/** Prefix of upstream names: `engine` or `plain` for the only service of its protocol, otherwise the service's name. */
function upstreamPrefix (sample: PlatformSample, group: UpstreamGroup): string {
  const isOnlyService = sample.upstreams.filter((other) => other.protocol === group.protocol).length === 1
  if (group.protocol === 'model') return isOnlyService ? 'engine' : group.service
  return isOnlyService ? 'plain' : group.service
}

function weightStoreContents (sample: PlatformSample) {
  return { bytesPerMs: sample.weight_store.bytes_per_ms, models: sample.weight_store.models }
}
