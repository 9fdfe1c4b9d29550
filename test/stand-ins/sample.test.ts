/** Tests that the files of each sample are complete and consistent, since new users start from them. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { configurationSchema } from '../../src/configuration/index.js'
import { sha256 } from '../../src/credentials.js'
import { parseSettings } from '../../src/settings.js'
import { loadSample } from '../../stand-ins/sample.js'

const SIZES = [
  { folder: 'samples/calcaria-lisbon', servers: [13, 3] },
  { folder: 'samples/tsubame-kyushu', servers: [6, 3] }
]

for (const { folder, servers } of SIZES) {
  test(`${folder} has the deployment's size and consistent files`, () => {
    const sample = loadSample(folder)
    const configuration = parseSettings(configurationSchema, sample.configuration, folder)
    assert.deepEqual(sample.platform.upstreams.map((group) => group.count), servers)
    assert.equal(new Set(sample.entries.map((entry) => entry.failure_domain)).size, 3)
    assert.equal(configuration.organisations.length, 5)
    for (const { name, key } of sample.organisations) {
      assert.ok(configuration.organisations.some((organisation) => organisation.name === name && organisation.key_sha256.includes(sha256(key))))
    }
    for (const entry of sample.entries) assert.equal(entry.operator_key_sha256, sha256(sample.operatorKey))
    const services = new Map(configuration.services.map((service) => [service.name, service.kind]))
    for (const request of sample.requests) {
      const requestClass = configuration.classes.find((candidate) => candidate.name === request.class)
      assert.equal(services.get(requestClass!.service), 'messages' in request ? 'model' : 'plain')
    }
    assert.ok(sample.requests.length >= 200)
  })
}
