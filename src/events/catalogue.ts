/**
 * Catalogue of all log events of a gateway node with their fields. Times and durations are in milliseconds.
 *
 * The node imports only the types, so that its start does not spend time on building the schemas. Log readers and tests
 * use the schemas to check log lines.
 */
import * as z from 'zod'

/** Message of an error. */
const error = z.string()
const count = z.number().int().nonnegative()
const duration = z.number().nonnegative()
const request = z.string().optional()

/** Fields of events about one upstream. */
const upstreamFacts = {
  upstream: z.string(),
  service: z.string(),
  version: z.string().optional(),
  address: z.string(),
  failureDomain: z.string(),
  reclaimable: z.boolean(),
  leavesIn: duration.optional(),
  source: z.enum(['watch', 'listing'])
}

/** Fields of events about an order of upstreams. */
const orderFacts = { service: z.string(), failureDomain: z.string(), reclaimable: z.boolean(), desired: count }

const taskFailure = z.strictObject({ error })
const noFacts = z.strictObject({})

/** Time for which the node has watched a service, and the versions that it has seen there lately. */
const versionFacts = { watchedFor: duration.optional(), versions: z.string() }

/** Configuration version of the node, ages of its configuration and its view of upstreams, and number of known nodes. */
const freshnessFacts = { configuration: count.optional(), configurationAge: duration.optional(), upstreamsAge: duration.optional(), nodes: count }

/** Schemas of the fields of all events, by event name. The description of a schema is the meaning of the event. */
export const EVENTS = {
  'node-started': z.strictObject({ incarnation: z.string(), failureDomain: z.string(), front: z.string() }).describe('the process listens; `incarnation` is new with each start'),
  'node-stopping': z.strictObject({ inFlight: count, grace: duration }).describe('asked to stop; `grace` is left until what still runs is cut off'),
  'stop-admission': z.strictObject({ request, route: z.string(), admitted: z.boolean(), since: duration, left: duration, limit: duration }).describe('a request that came to a stopping node `since` the stop was asked for: `left` until requests are cut off, and the time until its own `limit`'),
  'requests-cut-off': z.strictObject({ inFlight: count }).describe('the grace ended before these requests did; those whose answer had not begun were answered with a failure'),
  'node-closed': z.strictObject({ inFlight: count, relayed: count, since: duration }).describe('a stopping node takes nothing from now on, `since` the stop was asked for; it waits for the requests in progress and the connections that it relays'),
  'requests-awaited': z.strictObject({ inFlight: count, relayed: count, since: duration }).describe('a stopping node waits no longer for requests, `since` the stop was asked for: so many are in progress, and so many connections are relayed'),
  'last-counts-awaited': z.strictObject({ isWritten: z.boolean(), took: duration }).describe('a stopping node waits no longer for the write of its last usage counts'),
  'last-counts-not-written': z.strictObject({ error }).describe('what was served during the stop is missing in the usage of its window'),
  'node-stopped': z.strictObject({ inFlight: count, relayed: count }).describe('the last line of a planned stop; so many requests were in progress and so many connections relayed when all connections were closed, and were broken off'),
  'withdrawal-failed': z.strictObject({ error }).describe('the record of a stopping node stands until its lease ends'),
  'connections-full': z.strictObject({ address: z.string(), what: z.enum(['closed', 'turned-away']) }).describe('as many connections to the address are open as it takes: one that had waited for its caller was closed, or a new one was turned away since none had'),
  'settings-reloaded': z.strictObject({ reason: z.string(), changed: z.string(), afterRestart: z.string() }).describe('new settings; `afterRestart` names those that wait for the next start'),
  'settings-unchanged': z.strictObject({ reason: z.string() }).describe('a signal to reload, and nothing new'),
  'settings-refused': z.strictObject({ reason: z.string(), error }).describe('the settings file is wrong; those in force stay'),
  'histograms-not-loaded': z.strictObject({ error }).describe('the metrics page has no durations'),
  'store-lost': z.strictObject({ prefix: z.string(), error, silentFor: duration.optional() }).describe('keys under the prefix are not followed any more'),
  'store-regained': z.strictObject({ prefix: z.string() }).describe('they are followed again'),
  'store-restored': z.strictObject({ before: count, epoch: count }).describe('the store came back from a copy; what was written there since the copy is gone'),
  'following-ended': z.strictObject({ prefix: z.string(), error }).describe('a fault of the program: keys are not followed for good'),
  'peer-lost': z.strictObject({ peer: z.string(), error }).describe('another node does not answer; told once until it does'),
  'peer-regained': z.strictObject({ peer: z.string() }).describe('it answers again'),
  'exchange-role': z.strictObject({ role: z.enum(['aggregator', 'member']), aggregator: z.string().optional(), nodes: count }).describe('how this node hears of the others and of the store from now on: as an aggregator, which exchanges and reads for itself, or by reports to `aggregator`'),
  'gossip-ended': z.strictObject({ error }).describe('a fault of the program: no exchange with other nodes for good'),
  'exchange-failed-unexpectedly': z.strictObject({ peer: z.string(), error }).describe('a fault of the program in one exchange with another node'),
  'configuration-in-force': z.strictObject({ version: z.number(), before: z.number().optional(), source: z.string(), routes: count, organisations: count.optional(), quotaRate: z.number().optional() }).describe('requests that come from now on are handled by this version; `source` is the store or a peer'),
  'configuration-unreadable': z.strictObject({ source: z.string(), error }).describe('a version was not taken; the one in force stays'),
  'configuration-removed': z.strictObject({ key: z.string() }).describe('the key is gone; the version in force stays'),
  'rollout-ordered': z.strictObject({ service: z.string(), version: z.string(), duration, order: count }).describe('the operator asks that the service go over to this version; `order` tells it from other orders'),
  'rollout-order-removed': z.strictObject({ service: z.string() }).describe('the order is gone; its version gets nothing unless it serves already'),
  'rollout-order-unreadable': z.strictObject({ key: z.string(), error }).describe('the order was not taken; one before it stands'),
  'rollout-stage': z.strictObject({ service: z.string(), version: z.string(), stage: z.enum(['canary', 'probe', 'cutover', 'done', 'rolled-back']), order: count, probedPart: z.number().optional() }).describe('this node goes by this stage from now on'),
  'rollout-stage-lost': z.strictObject({ service: z.string(), version: z.string(), stage: z.string(), found: z.string(), order: count }).describe('the store came back from a copy with an earlier stage; this node keeps to the one that it knows, and the holder of the duties writes it again'),
  'rollout-status-unreadable': z.strictObject({ key: z.string(), value: z.string() }).describe('what stands there was passed over; the new version gets nothing until it is written anew'),
  'rollout-status-removed': z.strictObject({ key: z.string() }).describe('somebody removed it; what this node knew holds'),
  'rollout-decided': z.strictObject({ service: z.string(), version: z.string(), stage: z.string(), verdict: z.string().optional(), sent: count.optional(), exposed: count.optional(), running: count.optional(), elapsed: z.number().optional(), outcome: z.string(), fencing: count }).describe('the holder of the duties writes the next stage: of `sent` requests since the order the new version got `exposed`, and `running` still run at the versions before'),
  'rollout-stopped': z.strictObject({ service: z.string(), version: z.string(), route: z.string(), fault: z.enum(['failing', 'slow']), sent: count, exposed: count, order: count }).describe('this node sends nothing more to the version, by what all nodes saw of it on this route'),
  'rollouts-failing': taskFailure.describe('the holder can\'t decide or write a stage'),
  'rollouts-works-again': noFacts.describe('and can again'),
  'upstream-new': z.strictObject(upstreamFacts).describe('it gets requests from now on'),
  'upstream-leaving': z.strictObject(upstreamFacts).describe('it gets nothing new; `leavesIn` where the platform said when it is gone'),
  'upstream-changed': z.strictObject(upstreamFacts).describe('another address under the same id'),
  'upstream-gone': z.strictObject({ upstream: z.string(), service: z.string().optional(), source: z.enum(['watch', 'listing']) }).describe('its record is gone'),
  'upstream-paused': z.strictObject({ upstream: z.string(), reason: z.string() }).describe('it failed; others go first until it answers or the pause of 0.4 to 3 s ends'),
  'connection-failed': z.strictObject({ upstream: z.string(), error, took: duration, silentFor: duration.optional(), allSilentFor: duration.optional() }).describe('no connection could be opened within `took`; this node has received nothing from the upstream for `silentFor` and nothing from any upstream for `allSilentFor`'),
  'path-lost': z.strictObject({ upstream: z.string(), relay: z.string() }).describe('no direct connection to the upstream opens, and other nodes reach it: they relay this node\'s connections from now on, `relay` the first one'),
  'path-regained': z.strictObject({ upstream: z.string(), lostFor: duration }).describe('connections to the upstream are direct again'),
  'lost-paths-failing': taskFailure.describe('a fault of the program: lost paths are not tested'),
  'lost-paths-works-again': noFacts.describe('and are again'),
  'upstream-slow': z.strictObject({ upstream: z.string(), service: z.string(), waiting: duration, slowness: z.number(), target: duration.optional() }).describe('a request would wait there for `waiting`, more than half of `target`, the smallest of its routes, or it is more than 2 times slower than the median of its service; `slowness` is that factor'),
  'upstream-recovered': z.strictObject({ upstream: z.string(), service: z.string(), waiting: duration, slowness: z.number() }).describe('both are below half of these limits again'),
  'upstream-limit': z.strictObject({ upstream: z.string(), service: z.string(), rate: z.number().nonnegative().optional(), pause: duration.optional(), source: z.enum(['answer', 'peer', 'shares']) }).describe('it takes `rate` requests a second of all nodes together, or any number again where none is given; this node sends one in each `pause`, or none where others have the whole limit'),
  'upstream-brittle': z.strictObject({ upstream: z.string(), service: z.string(), maxRefusals: z.number().nonnegative().optional() }).describe('its answers say that it falls over when it must refuse more than `maxRefusals` requests a second, or no longer say so where none is given; this node keeps its requests there within its share of the slots'),
  'upstream-says-leaving': z.strictObject({ upstream: z.string(), service: z.string(), source: z.enum(['answer', 'peer']) }).describe('its answers say that it leaves, here or at another node, and its record doesn\'t yet; it gets nothing new'),
  'upstream-asks-pause': z.strictObject({ upstream: z.string(), service: z.string(), retryAfter: duration }).describe('it turned a request away and wants nothing more from this node for so long'),
  'upstream-record-unusable': z.strictObject({ key: z.string(), reason: z.string() }).describe('the record names no upstream to use, and why; told once until the reason changes'),
  'upstream-doubtful': z.strictObject({ upstream: z.string(), service: z.string() }).describe('it had ended, and stands there again since the store came back from a copy; not used until the others have written anew'),
  'upstreams-not-settled': z.strictObject({ error }).describe('a fault of the program: upstreams that were doubtful are not used'),
  'node-registered': z.strictObject({ lease: z.string() }).describe('other nodes and callers find this one in the store'),
  'node-registration-lapsed': z.strictObject({ lease: z.string() }).describe('the lease ended before it was renewed; it registers anew'),
  'node-registration-failed': z.strictObject({ error }).describe('the store did not take the record or its renewal; tried again within 0.5 s'),
  'node-registration-ended': z.strictObject({ error }).describe('a fault of the program: not registered for good'),
  'node-known': z.strictObject({ node: z.string(), incarnation: z.string(), front: z.string() }).describe('another node has registered'),
  'node-gone': z.strictObject({ node: z.string() }).describe('its record is gone'),
  'node-record-unreadable': z.strictObject({ key: z.string(), value: z.string() }).describe('a record was passed over'),
  'shares-dealt': z.strictObject({ nodes: count, heard: count }).describe('quotas and retry budgets are dealt to so many nodes from now on, of which `heard` tell their demand'),
  'duty-taken': z.strictObject({ fencing: count }).describe('this node reports usage and orders upstreams'),
  'duty-lost': noFacts.describe('it does not any more'),
  'duty-superseded': z.strictObject({ fencing: count }).describe('the platform has seen a higher number; this one is not used again'),
  'duty-release-failed': z.strictObject({ error }).describe('the lease of the duties ends by itself'),
  'usage-decided': z.strictObject({ window: count, total: count, fencing: count, after: count.optional(), epoch: count.optional() }).describe('the counts of a window are fixed in the store, where the journal stood at `after`'),
  'usage-reported': z.strictObject({ window: count, outcome: z.string(), fencing: count }).describe('the platform answered to the report'),
  'usage-journal-begun': z.strictObject({ window: count, ended: count, epoch: count, found: z.enum(['missing', 'unreadable', 'earlier']) }).describe('the journal doesn\'t say what was reported; windows after `window` are reported, those up to it are over. Where it is `ended`, the last window that has ended, some may never be reported; `earlier` means that the store came back from a copy'),
  'usage-counts-unreadable': z.strictObject({ key: z.string() }).describe('the counts of one node were passed over'),
  'upstreams-ordered': z.strictObject({ ...orderFacts, running: count, load: z.number(), constraint: z.enum(['prefill', 'slots']), answer: z.string(), fencing: count }).describe('`load` engines are kept busy, by prefill or by slots, so `desired` are to run in this pool'),
  'order-unanswered': z.strictObject({ ...orderFacts, error }).describe('the order may still be carried out; it is repeated'),
  'request-sent': z.strictObject({ request, upstream: z.string(), send: count, reading: duration, waiting: duration, candidates: count, version: z.string().optional(), tries: z.string().optional(), lastEvent: z.string().optional(), resumes: z.string().optional(), ...freshnessFacts }).describe('chosen among the candidates: `reading` of the prompt to be done there, `waiting` of other prompts before it; `version` is that of the upstream, and `tries` names it where it is rolled out; a stream continues after `lastEvent`, and `resumes` names the attempt of the caller that began it'),
  'send-not-run': z.strictObject({ request, upstream: z.string(), reason: z.string() }).describe('the upstream did not run it and never will'),
  'attempt-broken': z.strictObject({ request, upstream: z.string(), events: count, attempts: count, after: duration, reason: z.string(), parts: z.string().optional(), brokenRuns: count.optional() }).describe('it may have run and broke off after so many events; `parts` are the parts of its prompt that other requests may share, and so many runs of the same request are known to have broken off'),
  'answer-ended-with-connection': z.strictObject({ request, upstream: z.string(), end: z.enum(['reset', 'upstream-ended', 'upstream-serves']), isRelayed: z.boolean(), testedBy: z.string().optional() }).describe('an answer with neither a length nor chunks ended with its connection, which was reset or ended as after a complete answer; then its upstream was tested with a new connection, which the node `testedBy` relayed, if any'),
  'upstream-crash-seen': z.strictObject({ upstream: z.string(), service: z.string(), parts: count }).describe('a run of a prompt with so many parts that others may share ended with its connection; what ran there is told to the other nodes'),
  'crash-cause-found': z.strictObject({ part: z.string(), upstreams: z.string(), doubtful: z.boolean() }).describe('this part of prompts explains the ends of these upstreams, so requests that hold it are refused; where it is doubtful, another part explains nearly as many'),
  'crash-cause-cleared': z.strictObject({ part: z.string() }).describe('requests with this part are served again: one has been answered completely, or another part explains the crashes'),
  'crash-causes-unreadable': z.strictObject({ key: z.string(), value: z.string() }).describe('what the store has was passed over; it is written anew when a part is found to crash upstreams'),
  'crash-causes-failing': taskFailure.describe('the parts that crash upstreams can\'t be written to the store; the nodes still tell each other'),
  'crash-causes-works-again': noFacts.describe('and can again'),
  'crash-cause-probed': z.strictObject({ request, part: z.string() }).describe('this request runs although its part is refused, to find out whether the part is sound'),
  'stream-resumed': z.strictObject({ request, resumes: z.string().optional(), service: z.string(), version: z.string(), recorded: z.boolean(), ...versionFacts }).describe('a caller takes up a stream that began as `resumes`, at this version; without `recorded` the version is the only one that the service had lately, as far as this node knows, which has watched it for `watchedFor` and counts these `versions`'),
  'stream-resume-refused': z.strictObject({ request, resumes: z.string().optional(), service: z.string().optional(), version: z.string().optional(), reason: z.string(), ...versionFacts, ...freshnessFacts }).describe('a caller takes up a stream that cannot go on as it began'),
  'stream-origins-read': z.strictObject({ checkpoints: count, streams: count, isComplete: z.boolean() }).describe('what nodes have written of their streams was read in the store; where it `isComplete`, streams of a service with a single version need no record'),
  'stream-origins-unreadable': z.strictObject({ key: z.string(), value: z.string() }).describe('what one node has written of its streams was passed over'),
  'stream-origins-failing': taskFailure.describe('what this node writes of its streams, or reads of others, does not get to the store or from it; if all nodes end, their streams are refused'),
  'stream-origins-works-again': noFacts.describe('and does again'),
  'run-moved': z.strictObject({ request, upstream: z.string(), target: z.string(), outcome: z.string(), took: duration }).describe('its upstream leaves; the run goes on at the target unless the outcome says why not'),
  'move-unanswered': z.strictObject({ request, upstream: z.string(), target: z.string(), error }).describe('nobody knows whether the run was moved; it is broken off'),
  'evacuation-failed': z.strictObject({ upstream: z.string(), error }).describe('a fault of the program: runs were not moved'),
  'repeat-refused': z.strictObject({ request, reason: z.string(), attempts: count, unrun: count }).describe('it is not sent once more, and why'),
  'upstream-not-found': z.strictObject({ request, service: z.string(), ready: count, tried: count, waited: duration, withheld: duration.optional(), ...freshnessFacts }).describe('no upstream of the service may take it; the first that asked for less takes requests of this node again after `withheld`'),
  'request-queued': z.strictObject({ request, service: z.string(), rank: count, waiting: duration.optional(), before: count, work: duration, tried: count }).describe('it waits at this node: the expected wait at the upstream that it would go to is `waiting`, and `before` requests with so much `work` for one upstream precede it; no `waiting` where no upstream is available'),
  'overload-refused': z.strictObject({ request, service: z.string(), rank: count, cause: z.enum(['overloaded', 'full']), backlog: duration, left: duration, waited: duration, queued: count, tried: count, retryAfter: duration }).describe('it cannot be answered in its time: `left` was left to its limit, and an upstream was expected to begin it after `backlog`; or there was no room to wait (`full`)'),
  'dispatch-queue-filling': z.strictObject({ service: z.string(), size: count }).describe('the upstreams of the service are busy and requests wait at this node'),
  'dispatch-queue-empty': z.strictObject({ service: z.string() }).describe('none waits any more'),
  'dispatch-queue-failed': z.strictObject({ service: z.string(), error }).describe('a fault of the program in a decision about waiting requests'),
  'quota-refused': z.strictObject({ request, organisation: z.string(), cost: z.number(), rate: z.number(), offered: z.number(), retryAfter: duration, cause: z.enum(['rate', 'window', 'node']).optional(), nodes: count }).describe('the organisation\'s callers request `offered` units a second from all nodes together; the limit that applied is its rate and burst, the bound on the units granted in a window, or this node\'s share'),
  'answer-late': z.strictObject({ request, route: z.string(), upstream: z.string(), failureDomain: z.string(), target: duration, waited: duration, sends: count, promptTokens: count.optional(), loads: z.string() }).describe('the first answer came after the target; `loads` has requests/reading at each upstream, the star marks the one that answered'),
  'request-served': z.strictObject({ request, route: z.string(), organisation: z.string().optional(), upstream: z.string(), attempts: count, unrun: count, events: count, promptTokens: count.optional(), late: z.boolean().optional(), failed: z.boolean().optional(), firstAfter: duration, after: duration }).describe('answered whole; first answer and end after so long; `failed` where the upstream answered with an error'),
  'request-failed': z.strictObject({ request, route: z.string().optional(), organisation: z.string().optional(), code: z.string(), verdict: z.enum(['not-run', 'may-have-run', 'ran']), reason: z.string(), attempts: count.optional(), unrun: count.optional(), promptTokens: count.optional(), late: z.boolean().optional(), unread: duration.optional(), after: duration, retryAfter: duration.optional(), ...freshnessFacts }).describe('not answered; the verdict says whether it may have run; it may have waited `unread` of its time before this node read it'),
  'request-failed-unexpectedly': z.strictObject({ request, error }).describe('a fault of the program in one request'),
  'request-handler-failed': z.strictObject({ error }).describe('a fault of the program after the answer'),
  'sums-ended': z.strictObject({ error }).describe('a fault of the program: no sums are written any more'),
  'requests-summed': z.strictObject({ served: count, late: count, refused: count, lost: count, left: count, span: duration }).describe('requests that ended since the line before: in time, late, not run, may have run, left by their callers'),
  'shares-failing': taskFailure.describe('the dealing of shares fails'),
  'shares-works-again': noFacts.describe('and works again'),
  'usage-counts-failing': taskFailure.describe('this node\'s counts don\'t reach the store'),
  'usage-counts-works-again': noFacts.describe('and do again'),
  'usage-report-failing': taskFailure.describe('the holder can\'t decide or report a window'),
  'usage-report-works-again': noFacts.describe('and can again'),
  'scaling-failing': taskFailure.describe('the holder can\'t plan or order'),
  'scaling-works-again': noFacts.describe('and can again'),
  'lines-left-out': z.record(z.string(), z.union([z.string(), count])).describe('lines of each event that were left out since, to bound the volume')
} as const satisfies Record<string, z.ZodType>

/** Name of an event. */
export type EventName = keyof typeof EVENTS

/** Fields of one event. */
export type EventFacts<Event extends EventName> = z.input<(typeof EVENTS)[Event]>

/** Log that accepts events of the catalogue only. */
export interface EventLog {
  info<Event extends EventName> (event: Event, facts?: EventFacts<Event>): void
  warn<Event extends EventName> (event: Event, facts?: EventFacts<Event>): void
  error<Event extends EventName> (event: Event, facts?: EventFacts<Event>): void
}
