/**
 * Seeded pseudorandom numbers. Code that needs randomness receives a {@link Random}, so that a run can be reproduced
 * from its seed.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Generator of pseudorandom numbers. */
export interface Random {
  /** Uniform integer in `[0, bound)`. */
  integer (bound: number): number
  /** Uniform number in `[0, 1)`. */
  fraction (): number
  /** Random element of a list. Throws a RangeError if the list is empty. */
  pick<T> (items: readonly T[]): T
}

/** Number of distinct values of `fraction`. */
const FRACTION_STEPS = 0x40000000

/**
 * Creates a generator.
 *
 * @param seed any integer. Equal seeds give equal sequences.
 * @example
 * const random = createRandom(7)
 * random.integer(6) // the same on every run
 */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed | 0)
  const integer = (bound: number): number => uniformInt(generator, 0, bound - 1)
  return {
    integer,
    fraction: () => integer(FRACTION_STEPS) / FRACTION_STEPS,
    pick: (items) => {
      const item = items[integer(items.length)]
      if (item === undefined) throw new RangeError('cannot pick from an empty list')
      return item
    }
  }
}
