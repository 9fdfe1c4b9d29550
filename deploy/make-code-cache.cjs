/**
 * Makes the code cache of the built gateway node: runs it in this process in front of stand-ins, with some hundred
 * requests of each kind, so that the cache holds the functions which a start and its first requests run. V8 takes a
 * cache only from a process with the same flags: run this with those of `deploy/system.toml`.
 */
const { writeFileSync, rmSync } = require('node:fs')
const { CACHE, compileProgram, runProgram } = require('./gateway.cjs')
const { prepareRehearsal } = require('../target/rehearsal.cjs')

/** Bound on the rehearsal in milliseconds; it takes about one second, and many times that on a machine with other work. */
const LONGEST_REHEARSAL = 60_000

const write = process.stdout.write.bind(process.stdout)

async function main () {
  rmSync(CACHE, { force: true })
  const script = compileProgram(undefined)
  try {
    const played = await boundedBy(LONGEST_REHEARSAL, rehearse(script))
    write(`code cache made after ${played} answers\n`)
  } catch (error) {
    // The program starts without the cache, or with one of fewer functions; a build must not fail for want of speed.
    process.stderr.write(`the rehearsal for the code cache failed: ${error.stack}\n`)
  }
  writeFileSync(CACHE, script.createCachedData())
}

/** @returns the number of answers that the program gave */
async function rehearse (script) {
  const rehearsal = await prepareRehearsal()
  process.argv.push('--settings', rehearsal.settingsFile)
  process.stdout.write = () => true
  runProgram(script)
  return rehearsal.play()
}

function boundedBy (time, promise) {
  const late = new Promise((_resolve, reject) => setTimeout(() => reject(new Error('it takes too long')), time).unref())
  return Promise.race([promise, late])
}

main().then(() => process.exit(0), (error) => {
  process.stderr.write(`${error.stack}\n`)
  process.exit(1)
})
