/**
 * Number of nodes that a process assumes until it has read the node records.
 *
 * Failure guarded against: all nodes are killed at once. Each restarts knowing only itself and uses the shared limits alone
 * for half a second. Organisations get several times their quota, and upstreams several times the allowed retries. The
 * number is at least that of nodes that exchange states directly. In larger deployments the node records are read within
 * some 50 ms of the configuration, and nothing is served before the configuration is read.
 */
export const ASSUMED_NODES = 16
