/** Address answers as a role: every caller asks for addresses, at worst once for each request. */
import { organisationNameSchema } from '../../src/identifiers.js'
import { selectAddressNodes, nodeRecordSchema } from '../../src/membership/index.js'
import { SIZES } from '../agreement/measure.js'
import type { CapacityRole } from './role.js'

/** Requests a second at one node at the target: 1,500 over 370 nodes. */
const REQUESTS_PER_SECOND = 1_500 / 370

const ANSWERS = 2_000
const DOMAINS = 5
const ORGANISATIONS = 40

export const addresses: CapacityRole = {
  name: 'addresses',
  measure: async () => [{
    role: 'addresses',
    quantity: 'processor time a node, us/s',
    module: 'membership/places',
    points: SIZES.map((nodes) => ({ nodes, value: measureAnswer(nodes) * REQUESTS_PER_SECOND }))
  }]
}

/** Processor time of one answer, in microseconds. */
function measureAnswer (count: number): number {
  const nodes = Array.from({ length: count }, (_, index) => nodeRecordSchema.parse({
    instance: `entry-${index}`,
    incarnation: `entry-${index}-0123456789ab`,
    failureDomain: `zone-${index % DOMAINS}`,
    address: '127.0.0.1:80',
    peerAddress: '127.0.0.1:81',
    leaving: false
  }))
  const organisations = Array.from({ length: ORGANISATIONS }, (_, index) => organisationNameSchema.parse(`organisation-${index}`))
  for (const organisation of organisations) selectAddressNodes(organisation, nodes)
  const before = process.cpuUsage()
  for (let index = 0; index < ANSWERS; index += 1) selectAddressNodes(organisations[index % ORGANISATIONS] ?? organisations[0]!, nodes)
  const used = process.cpuUsage(before)
  return (used.user + used.system) / ANSWERS
}
