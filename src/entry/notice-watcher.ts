/**
 * Collects notices about leaving instances from all sources and forwards them to peers. A few nodes of each failure
 * domain poll the cloud. The other nodes receive notices from peers, from engines and, with the longest delay, from the
 * instance list.
 */
import { createTimeoutSignal } from '../timeout-signal.js'
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

/** Events of a {@link NoticeWatcher}. */
export interface NoticeEvents {
  /** An upstream in the directory is leaving. Emitted again when the deadline has changed. */
  leaving: { readonly view: UpstreamView, readonly deadline: Milliseconds }
  /** The instance of this node is being reclaimed. */
  own: { readonly deadline: Milliseconds }
}

/** Watches the notices about leaving instances on one node. */
export interface NoticeWatcher {
  readonly events: Emittery<NoticeEvents>
  /** Deadline of an upstream, or undefined if the upstream is not known to leave. */
  deadlineOf (view: UpstreamView): Milliseconds | undefined
  /** Handler of notices that a peer forwards. */
  readonly handlers: Pick<ReclaimHandlers, 'notices'>
  /** Number of calls to the cloud so far. */
  cloudCallCount (): number
}

/** Options of {@link createNoticeWatcher}. */
export interface NoticeWatcherOptions {
  readonly cloud: Cloud
  readonly directory: UpstreamDirectory
  readonly own: () => NodeRecord
  readonly nodes: () => readonly NodeRecord[]
  readonly peers: Peers
  /** Clients that open a new connection for each call, for use after a failure. */
  readonly freshPeers: Peers
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
}

/** Interval at which a polling node asks the cloud for notices. */
export const CLOUD_POLL_PERIOD: Milliseconds = SECOND / 2

/** Minimum difference from the reported deadline for a deadline to be reported again. */
const MIN_DEADLINE_CHANGE: Milliseconds = SECOND / 4

/** Matches the response body of an upstream that refuses a request because it is leaving. */
const LEAVING_REFUSAL_PATTERN = /"message":"[^"]*\bleaving\b/

/** Sources of notices from the directory, with their names in the leaving view. */
const NOTICE_SOURCES: Record<Exclude<DirectorySource, 'peer' | 'cloud'>, NoticeSource> = {
  'instance-list': 'instance-list',
  engine: 'load-report',
  connection: 'refusal'
}

/**
 * Creates a watcher, which runs until `signal` is aborted.
 *
 * @example
 * const notices = createNoticeWatcher({ cloud, directory, own, nodes, peers, freshPeers, clock, log, signal })
 * notices.events.on('leaving', ({ view, deadline }) => plan(view, deadline))
 */
export function createNoticeWatcher (options: NoticeWatcherOptions): NoticeWatcher {
  const { cloud, directory, clock, log, signal } = options
  const events = new Emittery<NoticeEvents>()
  const leavingView = createLeavingView()
  const reportedDeadlines = new Map<string, Milliseconds>()
  let cursor = 0
  let cloudPolled = false
  let polledForOwn = false
  let cloudCalls = 0

  function processNotices (notices: readonly Notice[], from: Incarnation | undefined): void {
    const now = clock.now()
    const newNotices = notices.filter((notice) => leavingView.notice(notice, now))
    if (newNotices.length === 0) return
    updateDirectory()
    forwardNotices(options, selectMessages(leavingView, newNotices, now), from)
  }

  /** Marks all known leaving upstreams in the directory, and reports those that are new or have a new deadline. */
  function updateDirectory (): void {
    for (const instance of directory.instances()) {
      const leaving = leavingView.find(instance.name, instance.address)
      if (leaving !== undefined) reportLeaving(instance, leaving)
    }
  }

  function reportLeaving (instance: Instance, leaving: LeavingInstance): void {
    const key = `${instance.name}@${instance.address}`
    if (instance.name === options.own().instance) return reportOwnLeaving(key, leaving)
    if (instance.role.kind !== 'upstream') return
    directory.markLeaving(instance.role.upstream, toDirectorySource(leaving.source))
    const view = directory.find(instance.role.upstream)
    if (view === undefined || !recordDeadline(key, leaving)) return
    events.emit('leaving', { view, deadline: leaving.deadline }).catch(() => {})
  }

  /** Records the deadline, and returns whether it is new or differs noticeably from the one reported before. */
  function recordDeadline (key: string, leaving: LeavingInstance): boolean {
    const previous = reportedDeadlines.get(key)
    reportedDeadlines.set(key, leaving.deadline)
    return previous === undefined || Math.abs(previous - leaving.deadline) >= MIN_DEADLINE_CHANGE
  }

  /**
   * Reports the reclaim of this node's instance. The instance list contains no deadlines, so the node first asks the
   * cloud for its deadline.
   */
  function reportOwnLeaving (key: string, leaving: LeavingInstance): void {
    if (!leaving.announced && !polledForOwn) {
      polledForOwn = true
      fetchCloudNotices().catch(() => {}).finally(updateDirectory)
      return
    }
    if (!recordDeadline(key, leaving)) return
    log.info('own-instance-leaving', { source: leaving.source, remaining: Math.round(leaving.deadline - clock.now()) })
    events.emit('own', { deadline: leaving.deadline }).catch(() => {})
  }

  async function pollCloud (): Promise<void> {
    const own = options.own()
    const isPoller = pollersOf(options.nodes(), own.failureDomain).some((node) => node.incarnation === own.incarnation)
    if (isPoller) await fetchCloudNotices()
  }

  async function fetchCloudNotices (): Promise<void> {
    cloudCalls += 1
    const page = await cloud.notices(cursor, signal)
    cursor = page.next
    const now = clock.now()
    // Instances that had already ended at the first poll are skipped, because their names may be in use again.
    const current = page.notices.filter((notice) => cloudPolled || notice.remainingMs > 0)
    cloudPolled = true
    processNotices(current.map((notice) => ({ instance: notice.instance, address: undefined, source: 'cloud', noticedAt: now, deadline: now + notice.remainingMs })), undefined)
  }

  /** An outdated list can show a leaving instance as live. The instance is marked as leaving again immediately. */
  function processInstanceList (): void {
    leavingView.listed(directory.instances(), clock.now())
    updateDirectory()
    removeAbsent()
  }

  function removeAbsent (): void {
    const present = new Set(directory.instances().map((instance) => `${instance.name}@${instance.address}`))
    for (const key of reportedDeadlines.keys()) {
      if (!present.has(key)) reportedDeadlines.delete(key)
    }
  }

  directory.notices.on('leaving', ({ upstream, source }) => {
    if (source === 'peer' || source === 'cloud') return
    const instance = findInstance(directory.instances(), upstream)
    if (instance === undefined) return
    processNotices([{ instance: instance.name, address: instance.address, source: NOTICE_SOURCES[source], noticedAt: clock.now(), deadline: undefined }], undefined)
  })
  directory.notices.on('changed', processInstanceList)
  repeat({ clock, log, signal }, 'cloud-notices', CLOUD_POLL_PERIOD, pollCloud)
  repeat({ clock, log, signal }, 'notices', SECOND, processInstanceList)

  return {
    events,
    cloudCallCount: () => cloudCalls,
    deadlineOf: (view) => {
      const instance = findInstance(directory.instances(), view.name)
      return instance && leavingView.find(instance.name, instance.address)?.deadline
    },
    handlers: {
      notices: (message) => {
        const now = clock.now()
        processNotices(message.notices.map((notice) => noticeFromMessage(notice, now)), message.from)
      }
    }
  }
}

/**
 * Returns whether an upstream refused a request because it is leaving. Such a refusal can be the first sign of a
 * reclaim, when notices from the cloud and the instance list are both delayed.
 *
 * @example
 * if (refusedAsLeaving(failure)) directory.markLeaving(upstream, 'connection')
 */
export function refusedAsLeaving (failure: ServingError): boolean {
  return failure.code === 'upstream-refused' && failure.verdict === 'not-run' && LEAVING_REFUSAL_PATTERN.test(failure.message)
}

/**
 * Forwards notices to peers. A message that fails is sent once more on a new connection.
 *
 * Failure guarded against: the pooled connection to a peer no longer responds and the message is lost. The peer would
 * send requests to the leaving upstream until its instance list shows the reclaim.
 */
function forwardNotices (options: NoticeWatcherOptions, notices: readonly NoticeMessage[], from: Incarnation | undefined): void {
  const own = options.own()
  const message: NoticesMessage = { from: own.incarnation, notices: [...notices] }
  for (const node of noticeRecipients(own, from, options.nodes())) {
    sendNotices(options, options.peers, node, message)
      .catch(() => sendNotices(options, options.freshPeers, node, message))
      .catch((error) => { if (!options.signal.aborted) options.log.warn('notice-not-delivered', { to: node.incarnation, error: String(error) }) })
  }
}

async function sendNotices (options: NoticeWatcherOptions, peers: Peers, node: NodeRecord, message: NoticesMessage): Promise<void> {
  const signal = createTimeoutSignal(PEER_TIMEOUT / 2, options.signal)
  await peers.at(node.peerAddress).reclaim.notices.mutate(message, { signal })
}

function selectMessages (view: LeavingView, newNotices: readonly Notice[], now: Milliseconds): readonly NoticeMessage[] {
  const names = new Set<InstanceName>(newNotices.map((notice) => notice.instance))
  return view.messages(now).filter((message) => names.has(message.instance))
}

function findInstance (instances: readonly Instance[], upstream: string): Instance | undefined {
  return instances.find((instance) => instance.role.kind === 'upstream' && instance.role.upstream === upstream)
}

function toDirectorySource (source: NoticeSource): DirectorySource {
  switch (source) {
    case 'cloud': return 'cloud'
    case 'peer': return 'peer'
    case 'instance-list': return 'instance-list'
    case 'load-report': return 'engine'
    case 'refusal': return 'connection'
  }
}
