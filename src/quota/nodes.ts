/**
 * Nodes that a process reckons with until it has read their records.
 *
 * Failure guarded against: all nodes are killed at once, each comes back knowing only itself, and takes the whole of
 * what all may use together for half a second: organisations get several times their quota, and upstreams several
 * times the retries that are allowed. More than the nodes that all exchange directly; larger deployments are listed
 * within some 50 ms of the configuration, before which nothing is served.
 */
export const UNKNOWN_NODES = 16
