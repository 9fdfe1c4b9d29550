/*
 * Usage of one window, decided once: a holder of the duties reads the journal, decides counts by
 * compare-and-swap on the journal's revision, reports what was decided, and marks it as acknowledged. Two
 * nodes hold the duties one after the other, or for a while both; each has heard of other counts. Replies
 * of the store are lost, reports are late, and what a reader of the journal has seen grows old.
 *
 * Checked: the platform never accepts two reports of one window with different counts; what is marked as
 * acknowledged is what it accepted.
 *
 * MUTATIONS: SWAP DECIDED JOURNAL
 * SWAP: the journal is written whatever stands there. DECIDED: a holder that finds a decision reports its
 * own counts. JOURNAL: a holder reports without a decision in the store.
 */
#define NODES 2
#define NOTHING 0

byte journal = NOTHING;       /* decided counts; 1 and 2 are those of the nodes */
byte revision = 0;
bool acknowledged = false;

byte accepted = NOTHING;      /* at the platform */
byte underWay[NODES];         /* a report of each node; it may arrive at any time, or never */
bool answered[NODES];

proctype Node (byte p) {
  byte seen = NOTHING;
  byte seenRevision = 0;
  byte readings = 0;
  byte swaps = 0;
end:
  do
  :: atomic { readings < 4 -> readings++; seen = journal; seenRevision = revision }
#ifdef MUTATION_JOURNAL
  :: atomic { underWay[p] == NOTHING -> underWay[p] = p + 1 }
#endif
  /* Decides. The reply may be lost; the next reading shows what stands there. */
#ifdef MUTATION_SWAP
  :: atomic { seen == NOTHING && readings > 0 && swaps < 2 ->
#else
  :: atomic { seen == NOTHING && readings > 0 && swaps < 2 && seenRevision == revision ->
#endif
       swaps++; journal = p + 1; revision++;
       if
       :: seen = p + 1; seenRevision = revision
       :: skip
       fi }
  :: atomic { seen != NOTHING && underWay[p] == NOTHING ->
#ifdef MUTATION_DECIDED
       underWay[p] = p + 1 }
#else
       underWay[p] = seen }
#endif
  :: atomic { answered[p] && seenRevision == revision && !acknowledged -> acknowledged = true; assert(journal == accepted) }
  od
}

inline arrive (p) {
  assert(accepted == NOTHING || accepted == underWay[p]);
  accepted = underWay[p];
  underWay[p] = NOTHING;
  if
  :: answered[p] = true
  :: skip
  fi
}

proctype Network () {
end:
  do
  :: atomic { underWay[0] != NOTHING -> arrive(0) }
  :: atomic { underWay[1] != NOTHING -> arrive(1) }
  :: atomic { underWay[0] != NOTHING -> underWay[0] = NOTHING }
  :: atomic { underWay[1] != NOTHING -> underWay[1] = NOTHING }
  od
}

init {
  atomic { run Node(0); run Node(1); run Network() }
}
