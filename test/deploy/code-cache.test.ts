/** Tests that the built gateway accepts its code cache with the flags of the deploy file, and starts without a usable one. */
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
  let workFolder: string
  let gatewayCommand: readonly string[]

  before(async () => {
    workFolder = mkdtempSync(join(tmpdir(), 'hornbeamgap-build-'))
    for (const source of SOURCES) cpSync(join(ROOT, source), join(workFolder, source), { recursive: true })
    symlinkSync(join(ROOT, 'node_modules'), join(workFolder, 'node_modules'))
    mkdirSync(join(workFolder, 'target'))
    // A lock file older than the packages makes the build use the installed packages.
    writeFileSync(join(workFolder, 'package-lock.json'), '{}')
    utimesSync(join(workFolder, 'package-lock.json'), 0, 0)
    const deployment = parse(readFileSync(join(workFolder, 'deploy', 'system.toml'), 'utf8')) as { build: string, roles: { gateway: { run: string } } }
    gatewayCommand = deployment.roles.gateway.run.split(' ')
    const built = await run('sh', ['-c', deployment.build])
    assert.equal(built.code, 0, built.output)
  })

  after(() => { rmSync(workFolder, { recursive: true, force: true }) })

  function run (program: string, parameters: readonly string[]): Promise<Run> {
    return new Promise((resolve) => {
      execFile(program, parameters, { cwd: workFolder }, (error, stdout, stderr) => {
        resolve({ code: typeof error?.code === 'number' ? error.code : 0, output: stdout + stderr })
      })
    })
  }

  /** Starts the program with the command of the deploy file and `--version`. */
  function runVersionCheck (): Promise<Run> {
    return run(gatewayCommand[0]!, [...gatewayCommand.slice(1), '--version'])
  }

  it('starts from its code cache with the flags of the deploy file', async () => {
    const { code, output } = await runVersionCheck()
    assert.equal(code, 0, output)
    assert.doesNotMatch(output, /code-cache/)
    assert.match(output, /hornbeamgap-gateway/)
  })

  // Failure guarded against: after an update no process of a deployment starts, because the code cache comes
  // from another build and the start treats that as an error.
  it('starts with a corrupted, a foreign and a missing code cache, and logs each', async () => {
    const cacheFile = join(workFolder, 'target', 'hornbeamgap-gateway.cache')
    assert.ok(existsSync(cacheFile))
    const validCache = readFileSync(cacheFile)
    const corruptedCache = Buffer.from(validCache)
    corruptedCache.fill(0, 0, 16)
    for (const content of [corruptedCache, Buffer.from('none'), undefined]) {
      rmSync(cacheFile)
      if (content !== undefined) writeFileSync(cacheFile, content)
      const { code, output } = await runVersionCheck()
      assert.equal(code, 0, output)
      assert.match(output, content === undefined ? /code-cache-unreadable/ : /code-cache-rejected/)
      assert.match(output, /hornbeamgap-gateway/)
      writeFileSync(cacheFile, validCache)
    }
  })

  it('exits with an error if the settings file cannot be read', async () => {
    const { code, output } = await run(gatewayCommand[0]!, [...gatewayCommand.slice(1), '--settings', 'nowhere.toml'])
    assert.equal(code, 2)
    assert.match(output, /nowhere\.toml: cannot be read/)
  })
})
