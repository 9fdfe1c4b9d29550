/** Counts the instructions of a process with `perf`, which other load of the machine does not change. */
import { spawn } from 'node:child_process'
import type { Clock, Milliseconds } from '../../src/clock.js'

/** Time in which `perf` attaches to the process. */
const ATTACH_TIME: Milliseconds = 150

/**
 * Starts to count the instructions outside of the kernel.
 *
 * @returns function that stops and returns the number in millions; undefined where `perf` is missing or not permitted
 * @example
 * const stop = await countInstructions(clock, pid)
 * const millions = await stop()
 */
export async function countInstructions (clock: Clock, pid: number): Promise<() => Promise<number | undefined>> {
  const perf = spawn('perf', ['stat', '-x', ',', '-e', 'instructions:u', '-p', String(pid)], { stdio: ['ignore', 'ignore', 'pipe'] })
  let output = ''
  perf.stderr.on('data', (chunk) => { output += String(chunk) })
  const ended = new Promise<void>((resolve) => {
    perf.once('error', () => resolve())
    perf.once('close', () => resolve())
  })
  await clock.sleep(ATTACH_TIME)
  return async () => {
    perf.kill('SIGINT')
    await ended
    const count = /^(\d+),.*instructions/m.exec(output)?.[1]
    return count === undefined ? undefined : Number(count) / 1_000_000
  }
}
