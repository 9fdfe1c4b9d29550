/** Runs a command as a process of its own with a limit on its descriptors, and observes what the kernel says of it (Linux, proc(5)). */
import { spawn } from 'node:child_process'
import { readFileSync, readdirSync, readlinkSync } from 'node:fs'

/** A process that is observed until it ends. */
export interface ObservedProcess {
  /** Signal or exit code with which it has ended; undefined while it runs. */
  endedWith (): string | undefined
  /** Most memory that it has had resident, in bytes. */
  peakMemory (): number
  /** Most sockets and pipes that it was seen with. */
  peakSockets (): number
  /** Last bytes of what it has written. */
  output (): string
  /** Kills it. */
  kill (): Promise<void>
}

/** Options of {@link observeProcess}. */
export interface ObservedProcessOptions {
  /** Program and arguments. */
  readonly command: readonly string[]
  readonly environment?: Readonly<Record<string, string>>
  /** Most descriptors that the kernel lets it open. */
  readonly descriptors: number
}

/** Milliseconds between two looks at the process. */
const PERIOD_MS = 20

const BYTES_PER_KIB = 1_024

const KEPT_OUTPUT_CHARACTERS = 20_000

/** A shell sets the limit and is replaced by the command. */
const LIMITED = 'ulimit -n "$0" && exec "$@"'

/**
 * Starts a process.
 *
 * @example
 * const observed = observeProcess({ command: ['node', 'program.js'], descriptors: 500 })
 * assert.equal(observed.endedWith(), undefined)
 */
export function observeProcess ({ command, environment = {}, descriptors }: ObservedProcessOptions): ObservedProcess {
  const child = spawn('/bin/sh', ['-c', LIMITED, String(descriptors), ...command], { env: { ...process.env, ...environment }, stdio: ['ignore', 'pipe', 'pipe'] })
  let end: string | undefined
  let memory = 0
  let sockets = 0
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (bytes: Buffer) => { output = (output + bytes.toString()).slice(-KEPT_OUTPUT_CHARACTERS) })
  const ended = new Promise<void>((resolve) => child.once('exit', (code, signal) => {
    end = signal ?? `exit code ${code}`
    clearInterval(timer)
    resolve()
  }))
  const timer = setInterval(observe, PERIOD_MS)

  function observe (): void {
    try {
      memory = Math.max(memory, peakResidentBytes(child.pid!))
      sockets = Math.max(sockets, openSockets(child.pid!))
    } catch (error) {
      // The process has just ended.
      if (!['ENOENT', 'ESRCH'].includes(String((error as NodeJS.ErrnoException).code))) throw error
    }
  }

  return {
    endedWith: () => end,
    peakMemory: () => {
      observe()
      return memory
    },
    peakSockets: () => sockets,
    output: () => output,
    kill: () => {
      if (end === undefined) child.kill('SIGKILL')
      return ended
    }
  }
}

function peakResidentBytes (pid: number): number {
  const kibibytes = /^VmHWM:\s*(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
  return Number(kibibytes ?? 0) * BYTES_PER_KIB
}

function openSockets (pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).filter((descriptor) => /^(socket|pipe):/.test(linkOf(pid, descriptor))).length
}

/** A descriptor may have been closed since it was listed. */
function linkOf (pid: number, descriptor: string): string {
  try {
    return readlinkSync(`/proc/${pid}/fd/${descriptor}`)
  } catch {
    return ''
  }
}
