/** Whom a node suspects when exchanges fail. */
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

/** Runs one node for half a minute with the given paths, and tells whether it suspects its peer. */
async function suspectsPeer (paths: { pooled: Path, anew: Path, helper: 'reaches' | 'does not reach' | 'is silent' }): Promise<boolean> {
  const clock = createManualClock()
  const owner = new AbortController()
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
    exchangeAnew: (address) => reply(address, paths.anew),
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
    disagreed: () => {},
    suspicions,
    configuration: { current: () => undefined, revision: () => 1, offer: () => {}, heard: () => {} },
    peers,
    clock,
    random: createRandom(1),
    signal: owner.signal
  })
  exchange.run().catch(() => {})
  for (let second = 0; second < 30; second += 1) await clock.advance(1_000)
  owner.abort()
  return suspicions.isSuspected(PEER.incarnation)
}

test('a connection that has gone silent does not make its other end suspected', async () => {
  // Something between two nodes forgets their connection: exchanges on it are never answered, while a
  // new connection works. Were the node suspected, callers would lose a node that is well.
  assert.equal(await suspectsPeer({ pooled: 'fails', anew: 'works', helper: 'reaches' }), false)
})

test('one lost path between two nodes does not make either of them suspected', async () => {
  assert.equal(await suspectsPeer({ pooled: 'fails', anew: 'fails', helper: 'reaches' }), false)
})

test('a node that nobody reaches is suspected', async () => {
  assert.equal(await suspectsPeer({ pooled: 'fails', anew: 'fails', helper: 'does not reach' }), true)
})

test('a node that reaches nobody suspects nobody', async () => {
  // The node itself is cut off. Were it to suspect all others, it would tell so when it is back.
  assert.equal(await suspectsPeer({ pooled: 'fails', anew: 'fails', helper: 'is silent' }), false)
})
