/** Predicts how long a request would wait at an upstream before the upstream begins it. */
import type { Milliseconds } from '../clock.js'
import type { NodeLoad } from './types.js'

/** Slot time of an engine: a prefill and a hundred decoding steps of 3 to 5 ms. */
const ASSUMED_ENGINE_SLOT_TIME: Milliseconds = 600

/** Slot time of a plain upstream, measured as 43 and 61 ms in two deployments. */
const ASSUMED_PLAIN_SLOT_TIME: Milliseconds = 50

/**
 * Mean time for which a request holds a slot, as assumed until it has been learnt.
 *
 * @example
 * assumedSlotTime(hasEngines)
 */
export function assumedSlotTime (hasEngines: boolean): Milliseconds {
  return hasEngines ? ASSUMED_ENGINE_SLOT_TIME : ASSUMED_PLAIN_SLOT_TIME
}

/**
 * Time until one of the upstream's slots is free for a new request; 0 while there are free slots.
 *
 * @param slots requests that the upstream runs concurrently
 * @param slotTime mean time for which a request holds a slot
 * @example
 * slotWait(19, 16, 800) // 200: four requests have to end first, and one ends every 50 ms
 */
export function slotWait (requests: number, slots: number, slotTime: Milliseconds): Milliseconds {
  return requests < slots ? 0 : (requests - slots + 1) * slotTime / slots
}

/**
 * Expected time until the upstream begins a new request. Queued prefill, occupied slots and the observed delay are three views
 * of the same wait, so the longest of them counts.
 *
 * @param delay recently observed there
 * @example
 * expectedWait({ requests: 19, reading: 40, unanswered: 4 }, 16, 800, 0) // 200
 */
export function expectedWait (load: NodeLoad, slots: number, slotTime: Milliseconds, delay: Milliseconds): Milliseconds {
  return Math.max(load.reading, slotWait(load.requests, slots, slotTime), delay)
}
