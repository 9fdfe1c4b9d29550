/** Allocation of the spend of each service to request classes and organisations, in proportion to the work done. */
import type { ServiceName } from '../identifiers.js'
import type { Spend } from './ledger.js'
import type { LineBuilder } from './line.js'

/**
 * Report lines that spend is allocated to. The groupings show the same requests, so the full spend is allocated within
 * each of them.
 */
export interface Groupings {
  /** One line per class and organisation. */
  readonly lines: readonly LineBuilder[]
  readonly classes: readonly LineBuilder[]
  readonly organisations: readonly LineBuilder[]
  /** The single line over all requests, if there is one. */
  readonly total: readonly LineBuilder[]
}

/**
 * Allocates the spend of each service to the classes that it serves, in proportion to the tokens computed for them,
 * including recomputed ones. Services without token counts are allocated by the number of answers.
 *
 * @returns the total spend, and the part of it that belongs to services without any work
 * @example
 * const { spend, spendUnallocated } = allocateSpend(spend, groupings)
 */
export function allocateSpend (spend: readonly Spend[], groupings: Groupings): { spend: number, spendUnallocated: number } {
  const byService = new Map<ServiceName, number>()
  for (const item of spend) byService.set(item.service, item.amount + (byService.get(item.service) ?? 0))
  let unallocated = 0
  for (const [service, amount] of byService) unallocated += allocate(service, amount, groupings)
  return { spend: sum([...byService.values()]), spendUnallocated: unallocated }
}

function allocate (service: ServiceName, amount: number, groupings: Groupings): number {
  const lines = groupings.lines.filter((line) => line.requestClass?.service === service)
  const weightOf = sum(lines.map(tokensOf)) > 0 ? tokensOf : answersOf
  const totalWeight = sum(lines.map(weightOf))
  if (totalWeight === 0) return amount
  for (const line of lines) {
    const cost = amount * weightOf(line) / totalWeight
    charge(line, cost)
    charge(groupings.classes.find((candidate) => candidate.class === line.class), cost)
    charge(groupings.organisations.find((candidate) => candidate.organisation === line.organisation), cost)
    charge(groupings.total[0], cost)
  }
  return 0
}

function charge (line: LineBuilder | undefined, cost: number): void {
  if (line !== undefined) line.cost = cost + (line.cost ?? 0)
}

function tokensOf (line: LineBuilder): number {
  return line.tokens.generated + line.tokens.recomputed
}

function answersOf (line: LineBuilder): number {
  return line.sums.served + line.sums.late
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
