/**
 * Loaded into a measured gateway process before its program. Answers each message of the parent process with the processor
 * time used so far and, if REQUEST_COST_COUNTS is set, with the numbers of objects and calls so far. Counting makes the
 * process several times slower, so time and counts come from different processes.
 */
const counts = {}
const warnings = []

function count (name, amount = 1) {
  counts[name] = (counts[name] ?? 0) + amount
}

/** Counts the calls of a method. `measure` returns further counts of one call. */
function countCalls (object, method, name, measure) {
  const original = object[method]
  object[method] = function (...parameters) {
    const result = original.apply(this, parameters)
    count(typeof name === 'function' ? name(this) : name)
    measure?.(result, parameters)
    return result
  }
}

/** Counts the instances that are constructed from now on. */
function countInstances (name) {
  const Original = globalThis[name]
  globalThis[name] = class extends Original {
    constructor (...parameters) {
      super(...parameters)
      count(name)
    }
  }
  Object.defineProperty(globalThis[name], 'name', { value: name })
}

function startCounting () {
  const { EventEmitter } = require('node:events')
  countInstances('AbortController')
  countCalls(AbortSignal, 'any', 'AbortSignal.any')
  countCalls(EventTarget.prototype, 'addEventListener', (target) => target instanceof AbortSignal ? 'abort listeners' : 'other listeners of event targets')
  for (const method of ['on', 'addListener', 'prependListener']) countCalls(EventEmitter.prototype, method, 'listeners of emitters')
  countCalls(JSON, 'stringify', 'JSON.stringify', (text) => count('JSON.stringify bytes', text?.length ?? 0))
  countCalls(JSON, 'parse', 'JSON.parse', (_value, [text]) => count('JSON.parse bytes', text?.length ?? 0))
  countCalls(process.stdout, 'write', 'log lines', (_result, [line]) => count('log line bytes', line.length))
  countCalls(globalThis, 'setTimeout', 'setTimeout')
  require('node:async_hooks').createHook({
    init: (_id, type) => count(`async ${type}`)
  }).enable()
}

if (process.env.REQUEST_COST_COUNTS !== undefined) startCounting()
process.on('warning', ({ name, message }) => warnings.push(`${name}: ${message}`))
process.on('message', () => {
  const { user, system } = process.cpuUsage()
  process.send({ processor: (user + system) / 1_000, counts: { ...counts }, warnings: [...warnings] })
})
// A benchmark that is ended by a signal leaves no node behind.
process.on('disconnect', () => process.exit())
process.channel.unref()
