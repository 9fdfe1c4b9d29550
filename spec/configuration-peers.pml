/*
 * The configuration in force at two gateway nodes. The operator writes rising versions into the store.
 * Node 0 reaches the store; node 1 reaches it only now and then. Both hear of versions from the store, late
 * and out of order, and fetch from each other what the other says that it has. Node 1 is killed once.
 *
 * Checked: within one life a node never goes back to a lower version; when nothing is under way, a node
 * that the store turns away has what its peer has.
 *
 * MUTATIONS: SUPERSEDES PEERS TOLD
 * SUPERSEDES: a node puts in force whatever it hears. PEERS: nodes don't fetch from each other. TOLD: a
 * node takes what its peer said that it has for what it fetched.
 */
#define LAST 3

byte written = 1;             /* latest version in the store */
byte inForce[2];              /* 0: none */
byte heard[2];                /* a version on the way from the store to each node, however old */
byte told[2];                 /* what the other said that it has; 0: nothing new */
byte text[2];                 /* a version on the way from the other node */
bool killed = false;
bool reaches = true;          /* node 1 reaches the store */

inline offer (p, version) {
  assert(version <= written);
#ifdef MUTATION_SUPERSEDES
  assert(version >= inForce[p]);
  inForce[p] = version
#else
  if
  :: version > inForce[p] -> inForce[p] = version
  :: else
  fi
#endif
}

proctype Operator () {
  do
  :: atomic { written < LAST -> written++ }
  :: written == LAST -> break
  od
}

proctype Store () {
end:
  do
  :: atomic { heard[0] == 0 && inForce[0] < written -> heard[0] = written }
  :: atomic { heard[1] == 0 && reaches && inForce[1] < written -> heard[1] = written }
  /* An old reading that comes late. */
  :: atomic { heard[0] == 0 && written > 1 && inForce[0] < LAST -> heard[0] = written - 1 }
  :: atomic { reaches -> reaches = false }
  od
}

proctype Node (byte p) {
end:
  do
  :: atomic { heard[p] != 0 -> offer(p, heard[p]); heard[p] = 0 }
  :: atomic { inForce[p] > inForce[1 - p] && told[1 - p] == 0 && text[1 - p] == 0 -> told[1 - p] = inForce[p] }
#ifndef MUTATION_PEERS
  :: atomic { told[p] > inForce[p] && text[p] == 0 -> text[p] = inForce[1 - p]; told[p] = 0 }
#endif
  :: atomic { told[p] != 0 && told[p] <= inForce[p] -> told[p] = 0 }
#ifdef MUTATION_TOLD
  :: atomic { text[p] != 0 -> offer(p, text[p] + 1); text[p] = 0 }
#else
  :: atomic { text[p] != 0 -> offer(p, text[p]); text[p] = 0 }
#endif
  :: atomic { p == 1 && !killed && inForce[1] != 0 -> killed = true; inForce[1] = 0; told[1] = 0; text[1] = 0; heard[1] = 0 }
  od
}

#define QUIET (heard[0] == 0 && heard[1] == 0 && text[0] == 0 && text[1] == 0)

proctype Monitor () {
end:
  do
  :: atomic { timeout -> assert(!QUIET || reaches || inForce[1] == inForce[0]) }
  od
}

init {
  atomic { run Operator(); run Store(); run Node(0); run Node(1); run Monitor() }
}
