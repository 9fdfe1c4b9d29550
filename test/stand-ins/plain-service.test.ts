/** Tests that the plain service stand-in counts every run of a booking, including runs whose reply is lost. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import { upstreamNameSchema } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import { servePlainService } from '../../stand-ins/plain-service.js'

test('a booking whose reply is lost has run, a refused or reset booking has not', async () => {
  const service = await servePlainService({ port: 0, upstream: upstreamNameSchema.parse('dispatch-1'), clock: createSystemClock(), random: createRandom(1) })
  const sendBooking = (reference: string) => fetch(`http://${service.address}/bookings`, { method: 'POST', body: JSON.stringify({ reference }) })
  try {
    service.faults.loseReplies = true
    await assert.rejects(sendBooking('visit-1'))
    Object.assign(service.faults, { loseReplies: false, reset: true })
    await assert.rejects(sendBooking('visit-2'))
    Object.assign(service.faults, { reset: false, refuse: true })
    assert.equal((await sendBooking('visit-2')).status, 503)
    service.faults.refuse = false
    assert.deepEqual(await (await sendBooking('visit-1')).json(), { reference: 'visit-1', state: 'confirmed', runs: 2 })
    assert.deepEqual(service.ledger.entries(), [{ reference: 'visit-1', runs: 2 }])
  } finally {
    await service.kill()
  }
})
