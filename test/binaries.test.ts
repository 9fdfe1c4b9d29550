/** Command line of all binaries: help, version, settings validation and exit codes. They run in the test process. */
import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'
import * as z from 'zod'
import { EXIT, runServer } from '../src/bin/command-line.js'
import { VERSION } from '../src/version.js'

const PROCESSES = [
  { module: '../src/bin/hornbeamgap-entry.js', name: 'hornbeamgap-entry', settings: 'samples/calcaria-lisbon/entry-1.toml' },
  { module: '../src/bin/hornbeamgap-planner.js', name: 'hornbeamgap-planner', settings: 'samples/tsubame-kyushu/planner-1.toml' },
  { module: '../stand-ins/bin/hornbeamgap-stand-ins.js', name: 'hornbeamgap-stand-ins', settings: 'samples/tsubame-kyushu/platform.toml' }
]

const BINARIES = [...PROCESSES, { module: '../src/bin/hornbeamgap.js', name: 'hornbeamgap' }, { module: '../stand-ins/bin/demonstration.js', name: 'demonstration' }]

const folder = mkdtempSync(join(tmpdir(), 'hornbeamgap-'))
let runs = 0

after(() => rmSync(folder, { recursive: true }))

/** Runs the module of a binary with arguments, as in a process of its own, and collects its output. */
async function run (module: string, ...args: string[]): Promise<{ text: string, code: string | number }> {
  const texts: string[] = []
  const original = { argv: process.argv, out: process.stdout.write, err: process.stderr.write, log: console.log, info: console.info }
  const collect = (write: typeof process.stdout.write, stream: NodeJS.WriteStream) => ((text: string | Uint8Array, ...rest: any[]) => {
    // The test runner writes bytes and the binaries write strings.
    if (typeof text !== 'string') return write.call(stream, text, ...rest)
    texts.push(text)
    return true
  }) as typeof process.stdout.write
  process.argv = ['node', module, ...args]
  process.stdout.write = collect(original.out, process.stdout)
  process.stderr.write = collect(original.err, process.stderr)
  console.log = console.info = (...parts: unknown[]) => { texts.push(parts.join(' ')) }
  process.exitCode = EXIT.success
  try {
    await import(`${module}?run=${runs++}`)
    for (let turn = 0; turn < 10; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    return { text: texts.join('\n'), code: process.exitCode }
  } finally {
    process.exitCode = EXIT.success
    process.argv = original.argv
    process.stdout.write = original.out
    process.stderr.write = original.err
    Object.assign(console, { log: original.log, info: original.info })
  }
}

for (const { module, name } of BINARIES) {
  test(`${name} --help and --version print help and version, and start nothing`, async () => {
    const help = await run(module, '--help')
    assert.match(help.text, new RegExp(`Usage:[^]*${name}`))
    assert.equal(help.code, EXIT.success)
    const version = await run(module, '--version')
    assert.match(version.text, new RegExp(`${name}/${VERSION}`))
    assert.equal(version.code, EXIT.success)
  })

  test(`${name} rejects an unknown option as a usage error`, async () => {
    const { text, code } = await run(module, ...(name === 'hornbeamgap' ? ['status'] : []), '--unheard-of', 'x')
    assert.match(text, /unheardOf/)
    assert.equal(code, EXIT.usage)
  })
}

for (const { module, name, settings } of PROCESSES) {
  test(`${name} reports the path of an unknown key, the line of a TOML syntax error, and a missing settings file`, async () => {
    // Guards against misspelt keys that are ignored, so that the process runs without the intended limit.
    const text = readFileSync(settings, 'utf8')
    assert.deepEqual(await run(module, '--settings', settings, '--check'), { text: '', code: EXIT.success })
    const invalidSettings = [
      { content: `no_such_key = 1\n${text}`, pattern: /settings\.toml: .*unknown key "no_such_key"/ },
      { content: `${text}\n[[`, pattern: new RegExp(`settings\\.toml:${text.split('\n').length + 1}:`) }
    ]
    for (const { content, pattern } of invalidSettings) {
      const path = join(folder, 'settings.toml')
      writeFileSync(path, content)
      const result = await run(module, '--settings', path)
      assert.match(result.text, pattern)
      assert.equal(result.code, EXIT.usage)
    }
    const missing = await run(module, '--settings', join(folder, 'missing.toml'))
    assert.match(missing.text, /missing\.toml: cannot be read/)
    assert.equal(missing.code, EXIT.usage)
    assert.equal((await run(module)).code, EXIT.usage)
  })
}

// Guards against requests that are cut off: a process is asked to stop while it starts, and has taken them by then.
test('a server that is asked to stop while it starts is stopped once it has started', async () => {
  const path = join(folder, 'empty.toml')
  writeFileSync(path, '')
  const before = process.listeners('SIGTERM')
  const argv = process.argv
  process.argv = ['node', 'server', '--settings', path]
  const order: string[] = []
  let finishStart = (): void => {}
  try {
    runServer({
      name: 'server',
      description: 'Run a server',
      schema: z.object({}),
      start: async () => {
        await new Promise<void>((resolve) => { finishStart = resolve })
        order.push('started')
        return async () => { order.push('stopped') }
      }
    })
    const [handle] = process.listeners('SIGTERM').filter((listener) => !before.includes(listener))
    assert.ok(handle !== undefined, 'no signal is handled during the start')
    handle('SIGTERM')
    handle('SIGTERM')
    finishStart()
    while (order.length < 2) await new Promise((resolve) => setImmediate(resolve))
    assert.deepEqual(order, ['started', 'stopped'])
  } finally {
    process.argv = argv
  }
})
