/**
 * Makes the code cache of the built gateway node: runs it in this process in front of stand-ins, with some hundred
 * requests of each kind, so that the cache holds the functions which a start and its first requests run. V8 takes a
 * cache only from a process with the same flags: run this with those of `deploy/system.toml`.
 */
const { writeFileSync, rmSync } = require('node:fs')
const { CACHE, compileProgram, runProgram } = require('./gateway.cjs')
const { prepareRehearsal } = require('../target/rehearsal.cjs')

/** Bound on the rehearsal in milliseconds; it takes about one second. */
const LONGEST_REHEARSAL = 20_000

async function main () {
  rmSync(CACHE, { force: true })
  const rehearsal = await prepareRehearsal()
  process.argv.push('--settings', rehearsal.settingsFile)
  const silenced = process.stdout.write
  process.stdout.write = () => true
  const script = compileProgram(undefined)
  runProgram(script)
  const played = await rehearsal.play()
  process.stdout.write = silenced
  writeFileSync(CACHE, script.createCachedData())
  process.stdout.write(`code cache made after ${played} answers\n`)
}

setTimeout(() => fail(new Error('the rehearsal takes too long')), LONGEST_REHEARSAL).unref()

function fail (error) {
  process.stderr.write(`${error.stack}\n`)
  process.exit(1)
}

main().then(() => process.exit(0), fail)
