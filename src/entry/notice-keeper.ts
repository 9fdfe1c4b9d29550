/**
 * Hears that instances leave, from every source, and passes it on: a few nodes of each failure domain
 * ask the cloud; everybody else is told by peers, by engines and, last, by the instance list.
 */
import { createTimeoutSignal } from '../bound-signal.js'
import Emittery from 'emittery'
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Incarnation, InstanceName } from '../identifiers.js'
import type { Log } from '../log.js'
import type { NodeRecord } from '../membership/index.js'
import { PEER_TIMEOUT } from '../peer/client.js'
import type { Peers } from '../peer/client.js'
import type { NoticesMessage, ReclaimHandlers } from '../peer/reclaim.js'
import type { Cloud } from '../protocols/cloud.js'
import { repeat } from '../repeat.js'
import type { Instance, UpstreamView } from '../upstream/index.js'
import { createLeavingView, noticeFromMessage, pollersOf, noticeRecipients } from '../upstream/reclaim/index.js'
import type { LeavingInstance, LeavingView, Notice, NoticeMessage, NoticeSource } from '../upstream/reclaim/index.js'
import type { ServingError } from '../verdict.js'
import type { NoticeSource as DirectorySource, UpstreamDirectory } from './upstream-directory.js'

/** What the keeper tells the rest of the node. */
export interface NoticeEvents {
  /** An upstream of this node's view is known to leave; told again when its deadline has changed. */
  leaving: { readonly view: UpstreamView, readonly deadline: Milliseconds }
  /** The instance this node runs on is taken back. */
  own: { readonly deadline: Milliseconds }
}

/** The notices of one node. */
export interface NoticeKeeper {
  readonly events: Emittery<NoticeEvents>
  /** When an upstream of the present view ends, if it leaves. */
  deadlineOf (view: UpstreamView): Milliseconds | undefined
  /** What this node does when a peer passes notices on. */
  readonly handlers: Pick<ReclaimHandlers, 'notices'>
  /** Calls made to the cloud, for the measurement of their rate. */
  cloudCalls (): number
}

/** Options of {@link createNoticeKeeper}. */
export interface NoticeOptions {
  readonly cloud: Cloud
  readonly directory: UpstreamDirectory
  readonly own: () => NodeRecord
  readonly nodes: () => readonly NodeRecord[]
  readonly peers: Peers
  /** Calls on connections of their own, for use after a failure. */
  readonly freshPeers: Peers
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
}

/** Pause between two questions of one asking node to the cloud. */
export const CLOUD_PERIOD: Milliseconds = SECOND / 2

/** A deadline that differs by less is the same. */
const NOTABLE_CHANGE: Milliseconds = SECOND / 4

/** An upstream's refusal as its answer's body has it. */
const LEAVING_REFUSAL = /"message":"[^"]*\bleaving\b/

/** The directory's own sources, as the view names them. */
const SOURCES: Record<Exclude<DirectorySource, 'peer' | 'cloud'>, NoticeSource> = {
  'instance-list': 'instance-list',
  engine: 'load-report',
  connection: 'refusal'
}

/**
 * @example
 * const notices = createNoticeKeeper({ cloud, directory, own, nodes, peers, freshPeers, clock, log, signal })
 * notices.events.on('leaving', ({ view, deadline }) => plan(view, deadline))
 */
export function createNoticeKeeper (options: NoticeOptions): NoticeKeeper {
  const { cloud, directory, clock, log, signal } = options
  const events = new Emittery<NoticeEvents>()
  const leaving = createLeavingView()
  const told = new Map<string, Milliseconds>()
  let after = 0
  let asked = false
  let askedForOwn = false
  let calls = 0

  function take (notices: readonly Notice[], from: Incarnation | undefined): void {
    const now = clock.now()
    const fresh = notices.filter((notice) => leaving.notice(notice, now))
    if (fresh.length === 0) return
    apply()
    passOn(options, messagesAbout(leaving, fresh, now), from)
  }

  /** Brings the directory up to what is known, and tells what is new. */
  function apply (): void {
    for (const instance of directory.instances()) {
      const found = leaving.find(instance.name, instance.address)
      if (found !== undefined) tell(instance, found)
    }
  }

  function tell (instance: Instance, found: LeavingInstance): void {
    const key = `${instance.name}@${instance.address}`
    if (instance.name === options.own().instance) return tellOwn(key, found)
    if (instance.role.kind !== 'upstream') return
    directory.markLeaving(instance.role.upstream, sourceOf(found.source))
    const view = directory.find(instance.role.upstream)
    if (view === undefined || !isNews(key, found)) return
    events.emit('leaving', { view, deadline: found.deadline }).catch(() => {})
  }

  function isNews (key: string, found: LeavingInstance): boolean {
    const before = told.get(key)
    told.set(key, found.deadline)
    return before === undefined || Math.abs(before - found.deadline) >= NOTABLE_CHANGE
  }

  /** The instance list tells no deadline; the cloud, which does, is asked first by whoever it concerns. */
  function tellOwn (key: string, found: LeavingInstance): void {
    if (!found.announced && !askedForOwn) {
      askedForOwn = true
      takeFromCloud().catch(() => {}).finally(apply)
      return
    }
    if (!isNews(key, found)) return
    log.info('own-instance-leaving', { source: found.source, remaining: Math.round(found.deadline - clock.now()) })
    events.emit('own', { deadline: found.deadline }).catch(() => {})
  }

  async function askCloud (): Promise<void> {
    const own = options.own()
    const asks = pollersOf(options.nodes(), own.failureDomain).some((node) => node.incarnation === own.incarnation)
    if (asks) await takeFromCloud()
  }

  async function takeFromCloud (): Promise<void> {
    calls += 1
    const page = await cloud.notices(after, signal)
    after = page.next
    const now = clock.now()
    // What had ended before this node first asked is no news; its names may be in use again.
    const current = page.notices.filter((notice) => asked || notice.remainingMs > 0)
    asked = true
    take(current.map((notice) => ({ instance: notice.instance, address: undefined, source: 'cloud', noticedAt: now, deadline: now + notice.remainingMs })), undefined)
  }

  /** A lagging list may bring an instance back that is known to leave: it is marked again at once. */
  function readList (): void {
    leaving.listed(directory.instances(), clock.now())
    apply()
    forgetTold()
  }

  function forgetTold (): void {
    const present = new Set(directory.instances().map((instance) => `${instance.name}@${instance.address}`))
    for (const key of told.keys()) {
      if (!present.has(key)) told.delete(key)
    }
  }

  directory.notices.on('leaving', ({ upstream, source }) => {
    if (source === 'peer' || source === 'cloud') return
    const instance = instanceOf(directory.instances(), upstream)
    if (instance === undefined) return
    take([{ instance: instance.name, address: instance.address, source: SOURCES[source], noticedAt: clock.now(), deadline: undefined }], undefined)
  })
  directory.notices.on('changed', readList)
  repeat({ clock, log, signal }, 'cloud-notices', CLOUD_PERIOD, askCloud)
  repeat({ clock, log, signal }, 'notices', SECOND, readList)

  return {
    events,
    cloudCalls: () => calls,
    deadlineOf: (view) => {
      const instance = instanceOf(directory.instances(), view.name)
      return instance && leaving.find(instance.name, instance.address)?.deadline
    },
    handlers: {
      notices: (message) => {
        const now = clock.now()
        take(message.notices.map((notice) => noticeFromMessage(notice, now)), message.from)
      }
    }
  }
}

/**
 * Whether an upstream refused because it is leaving: the first to know may be a node whose instance
 * list and cloud both lag.
 *
 * @example
 * if (refusedAsLeaving(failure)) directory.markLeaving(upstream, 'connection')
 */
export function refusedAsLeaving (failure: ServingError): boolean {
  return failure.code === 'upstream-refused' && failure.verdict === 'not-run' && LEAVING_REFUSAL.test(failure.message)
}

/**
 * Tells peers, each with one more try on a connection of its own.
 *
 * Failure guarded against: the pooled connection to a peer has gone silent, the message is lost, and
 * the peer goes on sending work to a leaving upstream until its instance list catches up.
 */
function passOn (options: NoticeOptions, notices: readonly NoticeMessage[], from: Incarnation | undefined): void {
  const own = options.own()
  const message: NoticesMessage = { from: own.incarnation, notices: [...notices] }
  for (const node of noticeRecipients(own, from, options.nodes())) {
    send(options, options.peers, node, message)
      .catch(() => send(options, options.freshPeers, node, message))
      .catch((error) => { if (!options.signal.aborted) options.log.warn('notice-not-delivered', { to: node.incarnation, error: String(error) }) })
  }
}

async function send (options: NoticeOptions, peers: Peers, node: NodeRecord, message: NoticesMessage): Promise<void> {
  const signal = createTimeoutSignal(PEER_TIMEOUT / 2, options.signal)
  await peers.at(node.peerAddress).reclaim.notices.mutate(message, { signal })
}

function messagesAbout (view: LeavingView, fresh: readonly Notice[], now: Milliseconds): readonly NoticeMessage[] {
  const names = new Set<InstanceName>(fresh.map((notice) => notice.instance))
  return view.messages(now).filter((message) => names.has(message.instance))
}

function instanceOf (instances: readonly Instance[], upstream: string): Instance | undefined {
  return instances.find((instance) => instance.role.kind === 'upstream' && instance.role.upstream === upstream)
}

function sourceOf (source: NoticeSource): DirectorySource {
  switch (source) {
    case 'cloud': return 'cloud'
    case 'peer': return 'peer'
    case 'instance-list': return 'instance-list'
    case 'load-report': return 'engine'
    case 'refusal': return 'connection'
  }
}
