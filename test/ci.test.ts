/** Evaluation of test logs by CI: which failures are counted, and which are ignored as known. */
import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'

const folder = mkdtempSync(join(tmpdir(), 'hornbeamgap-ci-'))
let runs = 0

after(() => rmSync(folder, { recursive: true }))

/** Returns the last line that the evaluation prints: the numbers of passed and failed tests. */
async function evaluate (kind: string, status: number, log: string, knownRed: string): Promise<string> {
  const [logPath, redPath] = ['log', 'red'].map((name) => join(folder, name)) as [string, string]
  writeFileSync(logPath, log)
  writeFileSync(redPath, knownRed)
  const original = { argv: process.argv, log: console.log }
  const lines: string[] = []
  process.argv = ['node', 'evaluate', kind, String(status), logPath, redPath]
  console.log = (line: string) => { lines.push(line) }
  try {
    await import(`../.ci/evaluate.mjs?run=${runs++}`)
  } finally {
    process.argv = original.argv
    console.log = original.log
  }
  return lines.at(-1) ?? ''
}

/** Log of a run of unit tests. */
const unitTestLog = (failures: readonly string[], passed: number, failed: number): string =>
  `✔ one (1.2ms)\n${failures.map((name) => `✖ ${name} (3.4ms)\n`).join('')}ℹ pass ${passed}\nℹ fail ${failed}\nℹ cancelled 0\n✖ failing tests:\n${failures.map((name) => `✖ ${name} (3.4ms)\n`).join('')}`

test('unit tests: failures of tests listed as known red are ignored, all others count', async () => {
  assert.equal(await evaluate('unit tests', 0, unitTestLog([], 5, 0), ''), '5 0')
  assert.equal(await evaluate('unit tests', 1, unitTestLog(['a b', 'c'], 5, 2), ''), '5 2')
  assert.equal(await evaluate('unit tests', 1, unitTestLog(['a b', 'c'], 5, 2), 'a b | cause | issue 9\n'), '5 1')
  assert.equal(await evaluate('unit tests', 1, unitTestLog(['a b'], 5, 1), 'a b | cause | issue 9\n'), '5 0')
  assert.equal(await evaluate('process tests', 1, unitTestLog(['a b'], 5, 1), ''), '5 1')
})

test('a run fails if it is aborted, reports no results, or has too many known red tests', async () => {
  assert.equal(await evaluate('unit tests', 124, '✔ one (1.2ms)\n', ''), '0 1')
  assert.equal(await evaluate('unit tests', 1, unitTestLog([], 5, 0), ''), '5 1')
  assert.equal(await evaluate('unit tests', 0, unitTestLog([], 5, 0), 'a | x | 1\nb | x | 1\nc | x | 1\nd | x | 1\n'), '5 1')
})

// Guards against a list that hides entries in one line, since CI takes three: failures of the users' bench are in no run of CI.
test('known red entries that CI does not run are not counted against the maximum, and excuse no test', async () => {
  const others = 'x (not in CI) | x | 1\ny (not in CI) | x | 1\n'
  assert.equal(await evaluate('unit tests', 0, unitTestLog([], 5, 0), `a | x | 1\nb | x | 1\nc | x | 1\n${others}`), '5 0')
  assert.equal(await evaluate('unit tests', 0, unitTestLog([], 5, 0), `a | x | 1\nb | x | 1\nc | x | 1\nd | x | 1\n${others}`), '5 1')
  assert.equal(await evaluate('unit tests', 1, unitTestLog(['x'], 5, 1), others), '5 1')
})

test('scenarios: failed, undefined and pending ones count as failures, known red ones do not', async () => {
  const log = 'Failures:\n\n1) Scenario: It holds # features/a.feature:3\n   ✖ Then it holds\n\n4 scenarios (1 failed, 1 undefined, 2 passed)\n9 steps (1 failed, 8 passed)\n'
  assert.equal(await evaluate('scenarios', 1, log, ''), '2 2')
  assert.equal(await evaluate('scenarios', 1, log, 'It holds | cause | issue 9\n'), '2 1')
  assert.equal(await evaluate('scenarios', 0, '1 scenario (1 passed)\n', ''), '1 0')
})
