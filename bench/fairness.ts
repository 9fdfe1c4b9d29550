/** One large organisation floods; what the others get, and what limits across nodes do. */
import type { OrganisationName } from '../src/identifiers.js'
import { percent, rounded } from './scheduling/format.js'
import { jainIndex, shareOf, tokenGoodput } from './scheduling/measures.js'
import type { Measures } from './scheduling/measures.js'
import { calcaria } from './scheduling/mixes.js'
import type { ClassMix, Mix } from './scheduling/mixes.js'
import { fixedLimit, leastInFlight, NODES, own, roundRobin } from './scheduling/policies.js'
import type { Policy } from './scheduling/policies.js'
import { simulate } from './scheduling/simulation.js'
import type { Bench, Table } from './table.js'

/** How much more the flooding organisation sends than planned. */
const FLOOD = 8

const LONG = 0
const SHORT = 1

/** Fairness by organisation, and limits across nodes. */
export const bench: Bench = {
  name: 'fairness',
  description: 'One organisation floods plans; the others keep their targets',
  run: ({ seed }) => [floodTable(calcaria, seed), limitTable(calcaria, seed)]
}

function flood (mix: Mix): (classMix: ClassMix, organisation: OrganisationName) => number {
  const [flooding] = mix.organisations
  return (classMix, organisation) => organisation === flooding?.name && classMix === mix.classes[LONG] ? FLOOD : 1
}

function floodTable (mix: Mix, seed: number): Table {
  const policies = [own, fixedLimit(mix), leastInFlight, roundRobin]
  const rows = policies.map((policy) => {
    const measures = simulate({ seed, mix, createPolicy: policy.create, factor: flood(mix) })
    return [policy.name, ...figures(measures, mix)]
  })
  return { title: `${mix.name}: ${mix.organisations[0]?.name} sends ${FLOOD} times its plans`, columns: ['policy', ...columns(mix)], rows }
}

/** Ways to hold an organisation to its share without counting at all nodes. */
function limitTable (mix: Mix, seed: number): Table {
  const variants: { name: string, policy: Policy, nodesPerOrganisation: number, toldNodes?: number, reportPeriod?: number }[] = [
    { name: 'share by reports, organisation at 3 nodes', policy: own, nodesPerOrganisation: 3 },
    { name: 'share by reports, organisation at 5 nodes', policy: own, nodesPerOrganisation: 5 },
    { name: 'share by reports, organisation at 8 nodes', policy: own, nodesPerOrganisation: NODES },
    { name: 'share by reports, organisation at 1 node', policy: own, nodesPerOrganisation: 1 },
    { name: 'total over nodes, no reports, 3 nodes', policy: own, nodesPerOrganisation: 3, reportPeriod: 1e9 },
    { name: 'every node for itself, 3 nodes', policy: own, nodesPerOrganisation: 3, toldNodes: 1 }
  ]
  const rows = variants.map(({ name, policy, ...options }) => {
    const measures = simulate({ seed, mix, createPolicy: policy.create, factor: flood(mix), ...options })
    return [name, ...figures(measures, mix)]
  })
  return { title: `${mix.name}: the same flood, ways to limit an organisation across nodes`, columns: ['limit', ...columns(mix)], rows }
}

function columns (mix: Mix): string[] {
  const others = mix.organisations.slice(1).map(({ name }) => `${name} long %`)
  return ['tokens in target/s', 'flooding short %', 'flooding long %', ...others, 'others short %', 'Jain of others']
}

function figures (measures: Measures, mix: Mix): (string | number)[] {
  const long = mix.classes[LONG]?.name
  const short = mix.classes[SHORT]?.name
  const [flooding, ...others] = mix.organisations.map(({ name }) => name)
  const plans = others.map((name) => shareOf(measures, long, 'in-target', name))
  const shortShares = others.map((name) => shareOf(measures, short, 'in-target', name))
  return [
    rounded(tokenGoodput(measures), 0),
    percent(shareOf(measures, short, 'in-target', flooding)),
    percent(shareOf(measures, long, 'in-target', flooding)),
    ...plans.map(percent),
    percent(Math.min(...shortShares)),
    rounded(jainIndex(plans), 3)
  ]
}
