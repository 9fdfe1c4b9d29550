/** Memory that state takes in this process. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/**
 * Heap and array buffers after garbage collection, in kilobytes.
 *
 * @example
 * const before = memoryKilobytes()
 */
export function memoryKilobytes (): number {
  collectGarbage()
  collectGarbage()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return (heapUsed + arrayBuffers) / 1_024
}
