/** Cost of classes and organisations: each service's spend, shared out by the work done for them. */
import type { ServiceName } from '../identifiers.js'
import type { Spend } from './ledger.js'
import type { OpenLine } from './line.js'

/** Lines that the same spend is shared out over, each way of grouping apart from the others. */
export interface Groupings {
  readonly lines: readonly OpenLine[]
  readonly classes: readonly OpenLine[]
  readonly organisations: readonly OpenLine[]
  readonly total: readonly OpenLine[]
}

/**
 * Shares the spend of each service out over the classes it serves, in proportion to the tokens that
 * were computed for them, repeated ones included; by answers where no tokens are counted.
 *
 * @returns the whole spend, and what no line could be charged with
 * @example
 * const { spend, spendUnallocated } = allocateSpend(spend, groupings)
 */
export function allocateSpend (spend: readonly Spend[], groupings: Groupings): { spend: number, spendUnallocated: number } {
  const byService = new Map<ServiceName, number>()
  for (const one of spend) byService.set(one.service, one.amount + (byService.get(one.service) ?? 0))
  let unallocated = 0
  for (const [service, amount] of byService) unallocated += allocate(service, amount, groupings)
  return { spend: sum([...byService.values()]), spendUnallocated: unallocated }
}

function allocate (service: ServiceName, amount: number, groupings: Groupings): number {
  const lines = groupings.lines.filter((line) => line.requestClass?.service === service)
  const weightOf = sum(lines.map(tokensOf)) > 0 ? tokensOf : answersOf
  const whole = sum(lines.map(weightOf))
  if (whole === 0) return amount
  for (const line of lines) {
    const cost = amount * weightOf(line) / whole
    charge(line, cost)
    charge(groupings.classes.find((one) => one.class === line.class), cost)
    charge(groupings.organisations.find((one) => one.organisation === line.organisation), cost)
    charge(groupings.total[0], cost)
  }
  return 0
}

function charge (line: OpenLine | undefined, cost: number): void {
  if (line !== undefined) line.cost = cost + (line.cost ?? 0)
}

function tokensOf (line: OpenLine): number {
  return line.tokens.generated + line.tokens.recomputed
}

function answersOf (line: OpenLine): number {
  return line.sums.served + line.sums.late
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
