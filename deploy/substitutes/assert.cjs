/**
 * Stands for node:assert in undici's checks of its own state: loading the original, with the colours and the
 * standard error stream of its messages, took 16 of 126 ms of a process's start. A check that fails still throws.
 */
function check (value, message) {
  if (!value) throw message instanceof Error ? message : new Error(message ?? 'a check of an internal state failed')
}

check.ok = check
check.equal = check.strictEqual = (left, right, message) => check(Object.is(left, right), message)
check.notEqual = check.notStrictEqual = (left, right, message) => check(!Object.is(left, right), message)

module.exports = check
