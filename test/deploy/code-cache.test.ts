/** The built gateway with its code cache: accepted by a process with the flags of the deploy file, and not needed. */
import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { cpSync, existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, symlinkSync, utimesSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { parse } from 'smol-toml'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const SOURCES = ['deploy', 'platform', 'src', 'stand-ins', 'package.json', 'tsconfig.json']

interface Run {
  readonly code: number
  readonly output: string
}

describe('the built gateway', () => {
  let copy: string
  let words: readonly string[]

  before(async () => {
    copy = mkdtempSync(join(tmpdir(), 'hornbeamgap-build-'))
    for (const source of SOURCES) cpSync(join(ROOT, source), join(copy, source), { recursive: true })
    symlinkSync(join(ROOT, 'node_modules'), join(copy, 'node_modules'))
    mkdirSync(join(copy, 'target'))
    // Older than the packages, so that the build takes these as they are and installs none.
    writeFileSync(join(copy, 'package-lock.json'), '{}')
    utimesSync(join(copy, 'package-lock.json'), 0, 0)
    const deployment = parse(readFileSync(join(copy, 'deploy', 'system.toml'), 'utf8')) as { build: string, roles: { gateway: { run: string } } }
    words = deployment.roles.gateway.run.split(' ')
    const built = await run('sh', ['-c', deployment.build])
    assert.equal(built.code, 0, built.output)
  })

  after(() => { rmSync(copy, { recursive: true, force: true }) })

  function run (program: string, parameters: readonly string[]): Promise<Run> {
    return new Promise((resolve) => {
      execFile(program, parameters, { cwd: copy }, (error, stdout, stderr) => {
        resolve({ code: typeof error?.code === 'number' ? error.code : 0, output: stdout + stderr })
      })
    })
  }

  /** Starts the program as the deploy file says, for no more than a check of the command line. */
  function version (): Promise<Run> {
    return run(words[0]!, [...words.slice(1), '--version'])
  }

  it('starts from its code cache, with the flags that the deploy file gives', async () => {
    const { code, output } = await version()
    assert.equal(code, 0, output)
    assert.doesNotMatch(output, /code-cache/)
    assert.match(output, /hornbeamgap-gateway/)
  })

  // All processes of a deployment stay down after an update: the cache was made by another build, and the start
  // took that for an error.
  it('starts without a cache, with a spoilt one and with that of another program, and says so', async () => {
    const cache = join(copy, 'target', 'hornbeamgap-gateway.cache')
    assert.ok(existsSync(cache))
    const good = readFileSync(cache)
    const spoilt = Buffer.from(good)
    spoilt.fill(0, 0, 16)
    for (const content of [spoilt, Buffer.from('none'), undefined]) {
      rmSync(cache)
      if (content !== undefined) writeFileSync(cache, content)
      const { code, output } = await version()
      assert.equal(code, 0, output)
      assert.match(output, content === undefined ? /code-cache-unreadable/ : /code-cache-rejected/)
      assert.match(output, /hornbeamgap-gateway/)
      writeFileSync(cache, good)
    }
  })

  it('ends with an error where its settings are wrong', async () => {
    const { code, output } = await run(words[0]!, [...words.slice(1), '--settings', 'nowhere.toml'])
    assert.equal(code, 2)
    assert.match(output, /nowhere\.toml: cannot be read/)
  })
})
