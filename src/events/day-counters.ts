/** Numbers under paths of names, such as requests by class and outcome. They can be merged in any order. */

/** Numbers under paths of names. No path may be the beginning of another one. */
export interface Counters {
  add (path: readonly string[], amount: number): void
  /** Adds all numbers of other counters. */
  merge (other: Counters): void
  /** The names that follow a path, in the order in which they were first added. */
  names (path: readonly string[]): readonly string[]
  /** The number under a path, or the sum of all numbers under paths that begin with it. */
  sum (path: readonly string[]): number
}

type Branch = Map<string, Branch | number>

/**
 * Creates empty counters.
 *
 * @example
 * const counters = createCounters()
 * counters.add(['class', 'booking', 'inTime'], 1)
 * counters.sum(['class', 'booking'])
 */
export function createCounters (): Counters {
  const root: Branch = new Map()

  function add (path: readonly string[], amount: number): void {
    let branch = root
    for (const name of path.slice(0, -1)) branch = childBranch(branch, name)
    addTo(branch, path.at(-1)!, amount)
  }

  function find (path: readonly string[]): Branch | number | undefined {
    let found: Branch | number | undefined = root
    for (const name of path) found = found instanceof Map ? found.get(name) : undefined
    return found
  }

  return {
    add,
    merge: (other) => mergeFrom(other, [], root),
    names: (path) => {
      const found = find(path)
      return found instanceof Map ? [...found.keys()] : []
    },
    sum: (path) => sumOf(find(path))
  }
}

function mergeFrom (other: Counters, path: readonly string[], target: Branch): void {
  for (const name of other.names(path)) {
    const below = [...path, name]
    if (other.names(below).length === 0) addTo(target, name, other.sum(below))
    else mergeFrom(other, below, childBranch(target, name))
  }
}

function childBranch (branch: Branch, name: string): Branch {
  const known = branch.get(name)
  if (known instanceof Map) return known
  const created: Branch = new Map()
  branch.set(name, created)
  return created
}

function addTo (branch: Branch, name: string, amount: number): void {
  branch.set(name, Number(branch.get(name) ?? 0) + amount)
}

function sumOf (found: Branch | number | undefined): number {
  if (found === undefined) return 0
  if (typeof found === 'number') return found
  let sum = 0
  for (const value of found.values()) sum += sumOf(value)
  return sum
}
