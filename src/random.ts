/**
 * Seeded pseudorandom numbers. Every decision that needs randomness receives a {@link Random}, so a
 * run can be repeated from its seed.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A stream of pseudorandom numbers. */
export interface Random {
  /** Uniform integer in `[0, bound)`. */
  integer (bound: number): number
  /** Uniform number in `[0, 1)`. */
  fraction (): number
  /** One element of a non-empty list. */
  pick<T> (items: readonly T[]): T
}

const FRACTION_STEPS = 0x40000000

/**
 * @param seed any integer; equal seeds give equal streams
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
