/** Reports of nodes that are gone, or thought gone, are counted exactly once. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { HOUR, MINUTE, SECOND } from '../../src/clock.js'
import { NODE_PREFIX } from '../../src/entry/registration.js'
import { prefixEnd } from '../../src/protocols/key-value.js'
import type { KeyValue } from '../../src/protocols/key-value.js'
import type { RequestSums } from '../../src/report/index.js'
import { decodeSnapshot, decodeTotal, shardPrefix, SHARDS } from '../../src/report/index.js'
import { ServingError } from '../../src/verdict.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import type { KeyValueStore } from '../../stand-ins/key-value-store.js'
import { assertSumsAgree, createCountingNode, createFolder, createStillClock, LATE, LOST, reportOf, SERVED, START, UNKNOWN } from '../report/fleet.js'
import type { CountingNode, StillClock } from '../report/fleet.js'

const OUTCOMES = [SERVED, LATE, LOST, UNKNOWN]

/** Longer than any node is given before it is given up. */
const LONG_SILENCE = 20 * MINUTE

type Fate = 'answer' | 'lose-reply' | 'refuse'

interface Connection {
  readonly keyValue: KeyValue
  /** Fates of the next calls; further ones are answered. */
  fates: Fate[]
  /** Waits before each call takes effect and before each reply arrives. */
  pause: () => Promise<void>
}

function connect (store: KeyValueStore): Connection {
  const connection: Connection = { keyValue: undefined as never, fates: [], pause: () => Promise.resolve() }
  async function call<T> (operation: () => T): Promise<T> {
    const fate = connection.fates.shift() ?? 'answer'
    await connection.pause()
    if (fate === 'refuse') throw new ServingError('refused', { code: 'platform-unavailable', verdict: 'not-run' })
    const result = operation()
    await connection.pause()
    if (fate === 'lose-reply') throw new ServingError('reply lost', { code: 'timeout', verdict: 'may-have-run' })
    return result
  }
  const keyValue: Partial<KeyValue> = {
    get: (key) => call(() => store.get(key)),
    list: (prefix) => call(() => store.list(prefix, prefixEnd(prefix))),
    compareAndSwap: (key, revision, value) => call(() => store.compareAndSwap(key, revision, value)),
    compareAndDelete: (key, revision) => call(() => store.compareAndDelete(key, revision))
  }
  return Object.assign(connection, { keyValue: keyValue as KeyValue })
}

interface Truth {
  asked: number
  readonly ended: Record<'served' | 'late' | 'lost' | 'unknown', number>
}

/** What the reports say equals what happened. */
function assertTrue (sums: RequestSums, truth: Truth): void {
  const { served, late, lost, unknown } = sums
  assert.deepEqual({ asked: sums.asked, served, late, lost, unknown }, { asked: truth.asked, ...truth.ended })
}

function createLife () {
  const clock = createStillClock()
  const store = createKeyValueStore(clock)
  const truth: Truth = { asked: 0, ended: { served: 0, late: 0, lost: 0, unknown: 0 } }
  let count = 0

  /** Accepts a few requests at one node and ends some of them there, or at another one. */
  function work (node: CountingNode, other: CountingNode | undefined, requests: number): void {
    for (let index = 0; index < requests; index += 1) {
      count += 1
      const request = node.accept(count)
      truth.asked += 1
      const outcome = OUTCOMES[count % OUTCOMES.length]!
      if (count % 5 === 0) continue
      truth.ended[outcome === LATE ? 'late' : outcome.kind as 'served' | 'lost' | 'unknown'] += 1
      if (other === undefined || count % 3 !== 0) {
        node.end(request, outcome)
      } else {
        node.ledger.handedOver(request)
        other.ledger.takenOver(request, clock.wall())
        other.end(request, outcome)
      }
    }
  }

  return { clock, store, truth, work }
}

/** Every node that lives writes, and folders pass until nothing is left to fold. */
async function settle (nodes: readonly CountingNode[], store: KeyValueStore, clock: StillClock): Promise<void> {
  const folder = createFolder(connect(store).keyValue, clock)
  for (let round = 0; round < 3; round += 1) {
    for (const node of nodes) await node.keeper.write()
    await folder()
  }
}

test('whatever the order of writes, folds and lost replies, a node given up although it lives is counted once', async () => {
  // A user would see a class with more answers than questions. A node is cut off for long, two
  // planners each believe they hold the lease and fold its report at once, replies are lost, and
  // the node comes back in the middle of it and writes on.
  const fate = fc.constantFrom<Fate>('answer', 'answer', 'answer', 'lose-reply', 'refuse')
  const fates = fc.array(fate, { maxLength: 40 })
  await fc.assert(fc.asyncProperty(fc.scheduler(), fc.record({ node: fates, one: fates, two: fates }), fc.boolean(), fc.nat(40), async (scheduler, lost, hourTurns, delay) => {
    const { clock, store, truth, work } = createLife()
    const own = connect(store)
    const cutOff = createCountingNode('entry-1', own.keyValue, clock)
    const other = createCountingNode('entry-2', connect(store).keyValue, clock)
    const connections = [connect(store), connect(store)]
    const folders = connections.map((connection) => createFolder(connection.keyValue, clock))
    work(cutOff, other, 10)
    await cutOff.keeper.write()
    await other.keeper.write()
    for (const fold of folders) await fold()
    work(cutOff, other, 10)
    await clock.advance(hourTurns ? HOUR : LONG_SILENCE)

    const all = [own, ...connections]
    all.forEach((connection, index) => {
      connection.fates = [lost.node, lost.one, lost.two][index]!
      connection.pause = () => scheduler.schedule(Promise.resolve())
    })
    const comeBack = async (): Promise<void> => {
      for (let step = 0; step < delay; step += 1) await own.pause()
      for (let round = 0; round < 4; round += 1) {
        await cutOff.keeper.write().catch(() => {})
        work(cutOff, other, 3)
      }
    }
    const tasks = [...folders, comeBack].map((task) => task().then(() => {}, () => {}))
    await scheduler.waitFor(Promise.all(tasks))

    for (const connection of all) Object.assign(connection, { fates: [], pause: () => Promise.resolve() })
    work(cutOff, other, 10)
    await settle([cutOff, other], store, clock)
    const report = reportOf(store, clock)
    assertTrue(report.total.sums, truth)
    assert.equal(report.total.sums.unreported, 0)
    assert.deepEqual(report.gaps, [])
    assertSumsAgree(report)
  }), { seed: 1, numRuns: 200, endOnFailure: true })
})

const commandArbitrary = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('work' as const), node: fc.nat(2), other: fc.nat(2), requests: fc.integer({ min: 1, max: 6 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('write' as const), node: fc.nat(2), fates: fc.array(fc.constantFrom<Fate>('answer', 'lose-reply', 'refuse'), { maxLength: 3 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('fold' as const), folder: fc.nat(1), fates: fc.array(fc.constantFrom<Fate>('answer', 'answer', 'answer', 'lose-reply', 'refuse'), { maxLength: 40 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('time' as const), minutes: fc.constantFrom(1, 20, 61) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash' as const), node: fc.nat(1) }) }
)

type Command = typeof commandArbitrary extends fc.Arbitrary<infer Value> ? Value : never

/** Nodes hand requests to each other and die at any moment, before or after either has reported it. */
async function assertLives (commands: readonly Command[]): Promise<void> {
  const { clock, store, truth, work } = createLife()
  const connections = [0, 1, 2].map(() => connect(store))
  const nodes = connections.map((connection, index) => createCountingNode(`entry-${index}`, connection.keyValue, clock))
  const folding = [0, 1].map(() => connect(store))
  const folders = folding.map((connection) => createFolder(connection.keyValue, clock))
  const crashed = new Set<number>()
  const live = (): CountingNode[] => nodes.filter((_, index) => !crashed.has(index))

  for (const command of commands) {
    switch (command.kind) {
      case 'work': {
        const other = command.other === command.node || crashed.has(command.other) ? undefined : nodes[command.other]
        if (!crashed.has(command.node)) work(nodes[command.node]!, other, command.requests)
        break
      }
      case 'write':
        connections[command.node]!.fates = [...command.fates]
        if (!crashed.has(command.node)) await nodes[command.node]!.keeper.write().catch(() => {})
        break
      case 'fold':
        folding[command.folder]!.fates = [...command.fates]
        await folders[command.folder]!().catch(() => {})
        break
      case 'time':
        await clock.advance(command.minutes * MINUTE)
        break
      case 'crash':
        nodes[command.node]!.crash()
        crashed.add(command.node)
    }
    const report = reportOf(store, clock)
    assertSumsAgree(report)
    assertWithin(report.total.sums, truth)
  }

  const reported = reportedIncarnations(store, nodes)
  for (const connection of [...connections, ...folding]) connection.fates = []
  await settle(live(), store, clock)
  await clock.advance(LONG_SILENCE)
  for (let pass = 0; pass < 2; pass += 1) {
    await folders[0]!()
    await clock.advance(LONG_SILENCE)
  }
  await settle(live(), store, clock)
  const report = reportOf(store, clock)
  assertSumsAgree(report)
  assertWithin(report.total.sums, truth)
  if (crashed.size === 0) assertTrue(report.total.sums, truth)
  const missing = new Set(report.gaps.map((gap) => gap.incarnation))
  for (const index of crashed) assert.equal(missing.has(nodes[index]!.incarnation), reported.has(nodes[index]!.incarnation))
}

test('over lives of nodes with crashes, sums always agree, nothing is counted twice and a crash shows as a gap', async () => {
  // A user would see requests that vanish from the report, or one that is served twice in it.
  await fc.assert(fc.asyncProperty(fc.array(commandArbitrary, { maxLength: 60 }), assertLives), { seed: 1, numRuns: 150, endOnFailure: true })
})

// Guards against a crash that shows as no gap, over lists of commands of their full length.
test('over long lives of nodes with crashes, sums always agree and a crash shows as a gap', async () => {
  await fc.assert(fc.asyncProperty(fc.array(commandArbitrary, { maxLength: 60, size: 'max' }), assertLives), { seed: 1, numRuns: 150, endOnFailure: true })
})

/** A crash may hide counts, never add to them. */
function assertWithin (sums: RequestSums, truth: Truth): void {
  assert.ok(sums.asked <= truth.asked, `asked ${sums.asked} of ${truth.asked}`)
  for (const kind of ['served', 'late', 'lost'] as const) assert.ok(sums[kind] <= truth.ended[kind], `${kind} ${sums[kind]} of ${truth.ended[kind]}`)
}

/** Nodes that have ever got a report through, as the store or the totals show. */
function reportedIncarnations (store: KeyValueStore, nodes: readonly CountingNode[]): ReadonlySet<string> {
  const { entries } = store.list('hornbeamgap/reports/', 'hornbeamgap/reports0')
  return new Set(nodes.map((node) => node.incarnation).filter((incarnation) => entries.some((entry) => entry.value.includes(`${incarnation}`))))
}

test('a folder that dies at any step neither loses nor doubles what a dead node reported', async () => {
  // A user would see a dead node's answers vanish from the report, or appear twice. The folder dies
  // between closing, adding and deleting, or right after a write whose reply it never saw; another one
  // takes over. The report is read at each of these moments.
  for (const fate of ['refuse', 'lose-reply'] as const) {
    for (let step = 0; step < 40; step += 1) {
      const { clock, store, truth, work } = createLife()
      const node = createCountingNode('entry-1', connect(store).keyValue, clock)
      work(node, undefined, 12)
      await node.keeper.write()
      node.crash()
      const dying = connect(store)
      const fold = createFolder(dying.keyValue, clock)
      await fold()
      await clock.advance(LONG_SILENCE)
      dying.fates = [...Array<Fate>(step).fill('answer'), fate]
      await fold().catch(() => {})
      assertTrue({ ...reportOf(store, clock).total.sums, unknown: truth.ended.unknown }, truth)
      const successor = createFolder(connect(store).keyValue, clock)
      await successor()
      await clock.advance(LONG_SILENCE)
      await successor()
      const report = reportOf(store, clock)
      assertTrue({ ...report.total.sums, unknown: report.total.sums.unknown - 2 }, truth)
      assert.equal(report.gaps.length, 1)
      assert.equal(store.list('hornbeamgap/reports/nodes/', 'hornbeamgap/reports/nodes0').entries.length, 0)
    }
  }
})

test('a planned stop leaves no gap, and what was open then is reported as unknown', async () => {
  // A user would see a gap in the report after each restart, and a request that stays open for ever.
  const { clock, store } = createLife()
  const node = createCountingNode('entry-1', connect(store).keyValue, clock)
  node.end(node.accept(1), SERVED)
  node.accept(2)
  assert.equal(await node.keeper.finish(new AbortController().signal), true)
  await createFolder(connect(store).keyValue, clock)()
  const report = reportOf(store, clock)
  assert.deepEqual(report.gaps, [])
  assert.deepEqual([report.total.sums.served, report.total.sums.unknown, report.total.sums.open], [1, 1, 0])
  assert.equal(store.list('hornbeamgap/reports/nodes/', 'hornbeamgap/reports/nodes0').entries.length, 0)
})

test('in a large fleet a node that dies is given up before all reports have been read', async () => {
  // An operator would read of a gap of more than an hour after a death: a pass reads only a part of a
  // large fleet's reports, and a silent report had to be met twice.
  const { clock, store, work } = createLife()
  const node = createCountingNode('entry-1', connect(store).keyValue, clock)
  const record = `${NODE_PREFIX}${node.incarnation}`
  store.put(record, JSON.stringify({ incarnation: node.incarnation }))
  work(node, undefined, 5)
  await node.keeper.write()
  node.crash()
  const large = JSON.stringify({ note: 'not a report, and larger than what a pass reads'.padEnd(300_000) })
  for (let shard = 0; shard < SHARDS; shard += 1) store.put(`${shardPrefix(shard)}zzz`, large)
  const fold = createFolder(connect(store).keyValue, clock)
  await fold()
  store.compareAndDelete(record, store.get(record)!.revision)
  const passes = 8
  for (let pass = 0; pass < passes; pass += 1) {
    await clock.advance(30 * SECOND)
    await fold()
  }
  const totals = store.list('hornbeamgap/reports/totals/', 'hornbeamgap/reports/totals0').entries
  assert.equal(totals.flatMap((entry) => decodeTotal(entry.value)!.gaps).length, 1)
})

test('what a node noted of a dead one outlives its own end, and adds nothing to the sums', async () => {
  // A manager would read of a gap and not learn whose bookings were in it: the node that kept the notes
  // stopped as planned soon after.
  const { clock, store } = createLife()
  const dead = createCountingNode('entry-1', connect(store).keyValue, clock)
  const noting = createCountingNode('entry-2', connect(store).keyValue, clock)
  const { class: requestClass, organisation } = dead.accept(3)
  await dead.keeper.write()
  dead.crash()
  noting.ledger.died({ incarnation: dead.incarnation, rows: [{ class: requestClass, organisation, resumed: 0, lost: 0, unknown: 1 }] })
  await noting.keeper.finish(new AbortController().signal)
  const fold = createFolder(connect(store).keyValue, clock)
  await fold()
  await clock.advance(LONG_SILENCE)
  await fold()
  const { gaps, total } = reportOf(store, clock)
  assert.deepEqual(gaps.map((gap) => gap.noted), [[{ class: requestClass, organisation, resumed: 0, lost: 0, unknown: 1 }]])
  assert.deepEqual([total.sums.asked, total.sums.unknown], [1, 1])
})

test('a hand-over whose giver dies before it reports again counts once, at the taker', async () => {
  // A user would see a request both served and unknown: its node reported it as open, handed it to
  // another node on a reclaim and died before its next report. One more was accepted and handed over
  // after the last report, so only the taker knows of it; a third is open at the taker.
  const { clock, store } = createLife()
  const giver = createCountingNode('entry-1', connect(store).keyValue, clock)
  const taker = createCountingNode('entry-2', connect(store).keyValue, clock)
  const fold = createFolder(connect(store).keyValue, clock)
  const [reported, own] = [giver.accept(2), taker.accept(4)]
  await giver.keeper.write()
  const unreported = giver.accept(8)
  for (const request of [reported, unreported]) {
    giver.ledger.handedOver(request)
    taker.ledger.takenOver(request, clock.wall())
  }
  giver.crash()
  taker.end(reported, SERVED)
  taker.end(unreported, SERVED)
  await taker.keeper.write()
  await fold()
  await clock.advance(LONG_SILENCE)
  await taker.keeper.write()
  await fold()
  // The sum cannot tell yet whether the open one or the unreported one is missing; it can at the end.
  const early = reportOf(store, clock).total.sums
  assert.deepEqual([early.asked, early.served, early.unknown], [2, 2, 0])
  taker.end(own, LATE)
  await taker.keeper.write()
  const { asked, served, late, unknown, open, unreported: proven } = reportOf(store, clock).total.sums
  assert.deepEqual({ asked, served, late, unknown, open, proven }, { asked: 3, served: 2, late: 1, unknown: 0, open: 0, proven: 1 })
})

test('a request handed over by a node that dies is not unknown while others are open', async () => {
  // A user would see an unknown outcome for a request that was answered: its node died with a report
  // in which it is open, and another request is open elsewhere at that moment.
  const { clock, store } = createLife()
  const giver = createCountingNode('entry-1', connect(store).keyValue, clock)
  const taker = createCountingNode('entry-2', connect(store).keyValue, clock)
  const fold = createFolder(connect(store).keyValue, clock)
  const request = giver.accept(2)
  await giver.keeper.write()
  giver.crash()
  taker.ledger.takenOver(request, clock.wall())
  taker.end(request, SERVED)
  taker.accept(8)
  await fold()
  await clock.advance(LONG_SILENCE)
  await taker.keeper.write()
  await fold()
  const { asked, served, unknown, open } = reportOf(store, clock).total.sums
  assert.deepEqual({ asked, served, unknown, open }, { asked: 2, served: 1, unknown: 0, open: 1 })
})

test('totals older than the retention are deleted', async () => {
  const { clock, store, work } = createLife()
  const node = createCountingNode('entry-1', connect(store).keyValue, clock)
  work(node, undefined, 10)
  await node.keeper.finish(new AbortController().signal)
  const fold = createFolder(connect(store).keyValue, clock)
  await fold()
  const totals = (): number => store.list('hornbeamgap/reports/totals/', 'hornbeamgap/reports/totals0').entries.length
  assert.notEqual(totals(), 0)
  await clock.advance(15 * 24 * HOUR)
  for (let pass = 0; pass < 400; pass += 1) await fold()
  assert.equal(totals(), 0)
})

test('an epoch is closed in the first write after its hour, so that totals of past hours grow complete', async () => {
  const { clock, store } = createLife()
  const node = createCountingNode('entry-1', connect(store).keyValue, clock)
  const request = node.accept(2)
  await node.keeper.write()
  await clock.advance(HOUR)
  await node.keeper.write()
  node.end(request, SERVED)
  await node.keeper.write()
  const states = store.list('hornbeamgap/reports/nodes/', 'hornbeamgap/reports/nodes0').entries.map((entry) => decodeSnapshot(entry.value)?.state.kind)
  assert.deepEqual(states, ['closed', 'counting'])
  const report = reportOf(store, clock)
  assert.deepEqual(report.periods.map((line) => [line.period, line.sums.accepted, line.sums.served]), [[START, 1, 1]])
})
