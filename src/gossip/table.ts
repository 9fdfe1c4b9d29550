/**
 * Replicated table of node states (push-pull anti-entropy: Demers et al., Epidemic algorithms for replicated database
 * maintenance, 1987). Each node writes only its own state, so the highest sequence of an incarnation is the latest state.
 */
import type { Milliseconds } from '../clock.js'
import { valueOf } from '../named-values.js'
import { SECOND } from '../clock.js'
import type { GossipMessage, NodeState, VersionVector } from './types.js'

/** States of the nodes as one node has received them. */
export interface GossipTable {
  /** Replaces this node's own state. */
  publish (state: NodeState): void
  /** Merges a message. @returns the states that were newer than the known ones */
  receive (message: GossipPayload, now: Milliseconds): NodeState[]
  /** States that a peer lacks, with their ages; all states where the peer's version vector is unknown. */
  missing (peer: string | undefined, now: Milliseconds): Pick<GossipMessage, 'states' | 'ages'>
  /** Version vector of this table. */
  versions (): VersionVector
  /** Latest states of the other nodes whose states have advanced within {@link LIVENESS_TIMEOUT}. */
  live (now: Milliseconds): NodeState[]
  /** Longest time since the state of a live node advanced; undefined when there is no other live node. */
  maxSilence (now: Milliseconds): Milliseconds | undefined
  /** States of all other incarnations that are still kept, including dead ones. */
  all (): NodeState[]
}

/** Fields of a message that the table merges. */
export type GossipPayload = Pick<GossipMessage, 'from' | 'versions' | 'states' | 'ages'>

/** A node whose state has not advanced for this time is dead or partitioned. */
export const LIVENESS_TIMEOUT: Milliseconds = 3 * SECOND

/** How long the last state of a dead incarnation is kept. Its usage goes into the report of its last window. */
const RETENTION: Milliseconds = 30 * SECOND

/**
 * Older states are neither forwarded nor accepted. This is well below {@link RETENTION}, so no node has dropped the state
 * by then.
 */
const MAX_FORWARDED_AGE: Milliseconds = 12 * SECOND

interface ReceivedState {
  readonly state: NodeState
  readonly at: Milliseconds
}

/**
 * Creates an empty table.
 *
 * @param ownIncarnation incarnation of this node
 * @example
 * const table = createGossipTable(incarnation)
 * table.publish(state)
 * table.receive(message, clock.now())
 */
export function createGossipTable (ownIncarnation: string): GossipTable {
  const received = new Map<string, ReceivedState>()
  const peerVersions = new Map<string, VersionVector>()
  let ownState: NodeState | undefined

  /**
   * Failure guarded against: a node that has dropped the state of a dead node receives it again from a node that still
   * keeps it, takes the dead node for live, and callers are sent to its address for some more seconds. A state keeps the
   * age that it had at its sender, and a state older than {@link MAX_FORWARDED_AGE} is not accepted.
   */
  function receive (message: GossipPayload, now: Milliseconds): NodeState[] {
    peerVersions.set(message.from, message.versions)
    const newer: NodeState[] = []
    for (const state of message.states) {
      const at = now - (valueOf(message.ages, state.incarnation) ?? 0)
      if (state.incarnation === ownIncarnation || now - at > MAX_FORWARDED_AGE) continue
      const last = received.get(state.incarnation)
      if (last !== undefined && last.state.sequence >= state.sequence) continue
      received.set(state.incarnation, { state, at })
      newer.push(state)
    }
    for (const [incarnation, { at }] of received) {
      if (now - at < RETENTION) continue
      received.delete(incarnation)
      peerVersions.delete(incarnation)
    }
    return newer
  }

  function versions (): VersionVector {
    const all = new Map([...received].map(([incarnation, { state }]) => [incarnation, state.sequence]))
    if (ownState !== undefined) all.set(ownIncarnation, ownState.sequence)
    return Object.fromEntries(all)
  }

  return {
    publish: (state) => { ownState = state },
    receive,
    missing: (peer, now) => {
      const has = peer === undefined ? {} : peerVersions.get(peer) ?? {}
      const forwarded = [...received.values()].filter(({ at }) => now - at < MAX_FORWARDED_AGE)
      if (ownState !== undefined) forwarded.push({ state: ownState, at: now })
      const lacking = forwarded.filter(({ state }) => state.incarnation !== peer && (valueOf(has, state.incarnation) ?? -1) < state.sequence)
      return {
        states: lacking.map(({ state }) => state),
        ages: Object.fromEntries(lacking.map(({ state, at }) => [state.incarnation, Math.round(now - at)]))
      }
    },
    versions,
    live: (now) => latestIncarnations([...received.values()].filter(({ at }) => now - at < LIVENESS_TIMEOUT)),
    maxSilence: (now) => {
      const ages = [...received.values()].map(({ at }) => now - at).filter((age) => age < LIVENESS_TIMEOUT)
      return ages.length === 0 ? undefined : Math.max(...ages)
    },
    all: () => [...received.values()].map(({ state }) => state)
  }
}

/** Keeps one state per node: for some time after a restart there are states of two incarnations, and the latest counts. */
function latestIncarnations (received: readonly ReceivedState[]): NodeState[] {
  const latest = new Map<string, ReceivedState>()
  for (const receivedState of received) {
    const latestOfNode = latest.get(receivedState.state.name)
    if (latestOfNode === undefined || latestOfNode.at < receivedState.at) latest.set(receivedState.state.name, receivedState)
  }
  return [...latest.values()].map(({ state }) => state)
}
