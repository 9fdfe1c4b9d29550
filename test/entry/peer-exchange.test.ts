/** Tests which peers a node suspects when exchanges fail. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AgreementPeers } from '../../src/entry/agreement-peers.js'
import { createPeerExchange } from '../../src/entry/peer-exchange.js'
import { createMembershipView, createSuspicions, nodeRecordSchema } from '../../src/membership/index.js'
import type { AgreementMessage } from '../../src/peer/agreement.js'
import { createRandom } from '../../src/random.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const [OWN, PEER, HELPER] = [1, 2, 3].map((number) => nodeRecordSchema.parse({
  instance: `entry-${number}`,
  incarnation: `entry-${number}-life`,
  failureDomain: `zone-${number}`,
  address: `10.0.0.${number}:80`,
  peerAddress: `10.0.0.${number}:81`,
  leaving: false
})) as [ReturnType<typeof nodeRecordSchema.parse>, ReturnType<typeof nodeRecordSchema.parse>, ReturnType<typeof nodeRecordSchema.parse>]

type Path = 'works' | 'fails'

/** Runs one node for 30 seconds with the given network paths. Returns whether the node suspects its peer. */
async function suspectsPeer (paths: { pooled: Path, newConnection: Path, helper: 'reaches' | 'does not reach' | 'is silent' }): Promise<boolean> {
  const clock = createManualClock()
  const controller = new AbortController()
  const view = createMembershipView(OWN)
  view.replace([{ record: PEER, revision: 1 }, { record: HELPER, revision: 2 }], 2, 0)
  const suspicions = createSuspicions(OWN.incarnation)
  const answer = (from: typeof PEER): AgreementMessage => ({ from: from.incarnation, revision: 1, seen: 2, digest: view.digest(), rumours: [] })
  const reply = async (address: string, path: Path): Promise<AgreementMessage> => {
    if (address === HELPER.peerAddress) {
      if (paths.helper === 'is silent') throw new Error('no answer')
      return answer(HELPER)
    }
    if (path === 'fails') throw new Error('no answer')
    return answer(PEER)
  }
  const peers: AgreementPeers = {
    exchange: (address) => reply(address, paths.pooled),
    exchangeOnNewConnection: (address) => reply(address, paths.newConnection),
    deliver: async () => ({ revision: 1, missing: [] }),
    probe: async () => {
      if (paths.helper === 'is silent') throw new Error('no answer')
      return { reached: paths.helper === 'reaches' }
    }
  }
  const exchange = createPeerExchange({
    own: () => OWN,
    unregistered: () => false,
    view,
    onDisagreement: () => {},
    suspicions,
    configuration: { current: () => undefined, revision: () => 1, offer: () => {}, heard: () => {} },
    peers,
    clock,
    random: createRandom(1),
    signal: controller.signal
  })
  exchange.run().catch(() => {})
  for (let second = 0; second < 30; second += 1) await clock.advance(1_000)
  controller.abort()
  return suspicions.isSuspected(PEER.incarnation)
}

test('a peer is not suspected if only a pooled connection to it fails', async () => {
  // Failure guarded against: a router between two nodes drops the state of their connection. Exchanges on that connection
  // are never answered, while a new connection works. If the peer were suspected, callers would lose a healthy node.
  assert.equal(await suspectsPeer({ pooled: 'fails', newConnection: 'works', helper: 'reaches' }), false)
})

test('a peer is not suspected if a helper reaches it', async () => {
  assert.equal(await suspectsPeer({ pooled: 'fails', newConnection: 'fails', helper: 'reaches' }), false)
})

test('a peer that no node reaches is suspected', async () => {
  assert.equal(await suspectsPeer({ pooled: 'fails', newConnection: 'fails', helper: 'does not reach' }), true)
})

test('a node that reaches no peer suspects no peer', async () => {
  // Failure guarded against: a disconnected node suspects all other nodes and spreads these suspicions once it is connected
  // again.
  assert.equal(await suspectsPeer({ pooled: 'fails', newConnection: 'fails', helper: 'is silent' }), false)
})
