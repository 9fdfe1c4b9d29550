/** The programs are not fitted to a deployment: they contain neither its names nor measured values of its engines. */
import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..')
const PROGRAM_FOLDERS = ['src', 'platform', 'deploy']
const PROGRAM_FILES = /\.(ts|cjs|sh)$|system\.toml$/

/** Names of customers and places, and of the workloads that the bench runs for them. */
const NAMES = /calc[aá]ria|tsubame|tazalyq|almaty|lisboa|kyushu|tejo\b|fleetbench|quiet-\d|trouble-\d|scale-\d/i

/** Prefill rates, step times, attention costs, memory and prompt sizes from the data sheets of customers. */
const FIGURES = /\b(61\.8|92\.1|3\.09|3\.03|0\.367|684_?373|650_?152|630_?045|681_?860|630_?314|5_?382|6_?610)\b/

/** Constants that were replaced by measurements at run time. */
const REPLACED = /\b(GENERATED_FRACTION|TIME_PER_GENERATED_TOKEN)\b/

function programs (): { readonly path: string, readonly text: string }[] {
  return PROGRAM_FOLDERS.flatMap((folder) => readdirSync(join(ROOT, folder), { recursive: true, encoding: 'utf8' }).map((file) => join(folder, file)))
    .filter((path) => PROGRAM_FILES.test(path))
    .map((path) => ({ path, text: readFileSync(join(ROOT, path), 'utf8') }))
}

describe('the programs', () => {
  const all = programs()

  it('are found', () => {
    assert.ok(all.length > 200, `${all.length} files`)
  })

  it('contain no name of a customer, a place or a workload', () => {
    assert.deepEqual(all.filter(({ text }) => NAMES.test(text)).map(({ path }) => path), [])
  })

  // Guards against a fleet of the wrong size. If the number of engines were computed from a prefill rate of another
  // customer, a customer whose engines are 50 % faster would pay for too many of them.
  it('contain no value from the data sheet of a customer', () => {
    assert.deepEqual(all.filter(({ text }) => FIGURES.test(text)).map(({ path, text }) => `${path}: ${FIGURES.exec(text)?.[0]}`), [])
  })

  // Guards against a fleet of the wrong size. Slot times differ tenfold between deployments, so they are measured.
  it('contain no constant in place of the measured slot time', () => {
    assert.deepEqual(all.filter(({ text }) => REPLACED.test(text)).map(({ path, text }) => `${path}: ${REPLACED.exec(text)?.[0]}`), [])
  })
})
