import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { createSystemClock, MINUTE } from '../../src/clock.js'
import { startGatewayProcess } from '../../stand-ins/machines/gateway-process.js'

describe('a gateway process that can not start', () => {
  // Guards against a process that serves nobody, and that its platform doesn't start again since it lives.
  it('ends where another process has taken its address for other nodes', { timeout: MINUTE }, async () => {
    const other = createServer()
    await new Promise<void>((resolve) => other.listen(0, '127.0.0.1', resolve))
    try {
      const { port } = other.address() as AddressInfo
      await assert.rejects(startGatewayProcess(createSystemClock(), { memoryMb: 250, descriptors: 500, bodyBytes: 4_194_304 }, {}, port), /has ended with exit code 1: .*EADDRINUSE/s)
    } finally {
      other.close()
    }
  })
})
