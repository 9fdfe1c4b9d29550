/*
 * Usage of one window, decided once: a holder of the duties reads the journal, decides counts by
 * compare-and-swap on the journal's revision, reports what was decided, and marks it as acknowledged. Two
 * nodes hold the duties one after the other, or for a while both; each has heard of other counts. Replies
 * of the store are lost, reports are late, and what a reader of the journal has seen grows old. The store
 * comes back from a copy: a new epoch, in which revisions are given out again. A holder that finds a journal
 * of another epoch closes the window.
 *
 * Checked: the platform never accepts two reports of one window with different counts; what is marked as
 * acknowledged is what it accepted.
 *
 * MUTATIONS: SWAP DECIDED JOURNAL EPOCH ANSWER
 * SWAP: the journal is written whatever stands there. DECIDED: a holder that finds a decision reports its
 * own counts. JOURNAL: a holder reports without a decision in the store. EPOCH: a journal of another epoch is
 * taken for the latest. ANSWER: a swap counts as done whatever epoch its answer names.
 */
#define NODES 2
#define NOTHING 0             /* the window before is over, this one is not decided */
#define CLOSED 3              /* this one is over without a report */
#define RESTORES 2

byte journal = NOTHING;       /* decided counts; 1 and 2 are those of the nodes */
byte journalEpoch = 0;        /* as its writer knew it */
byte revision = 0;
bool acknowledged = false;
byte epoch = 0;

byte copyJournal = NOTHING;
byte copyJournalEpoch = 0;
byte copyRevision = 0;
bool copyAcknowledged = false;

byte accepted = NOTHING;      /* at the platform */
byte underWay[NODES];         /* a report of each node; it may arrive at any time, or never */
bool answered[NODES];

inline writeJournal (value, atEpoch) {
  journal = value; journalEpoch = atEpoch; revision++
}

proctype Node (byte p) {
  byte seen = NOTHING;
  byte seenRevision = 0;
  byte seenEpoch = 0;         /* of the store */
  byte seenJournalEpoch = 0;
  byte readings = 0;
  byte swaps = 0;
  byte sent = NOTHING;        /* what it reports, and where that stood in the journal */
  byte sentRevision = 0;
  byte sentEpoch = 0;
end:
  do
  :: atomic { readings < 4 -> readings++; seen = journal; seenRevision = revision; seenEpoch = epoch; seenJournalEpoch = journalEpoch }
#ifdef MUTATION_JOURNAL
  :: atomic { underWay[p] == NOTHING -> sent = p + 1; underWay[p] = sent }
#endif
  /* Decides. The reply may be lost; the next reading shows what stands there. */
#ifdef MUTATION_SWAP
  :: atomic { seen == NOTHING && seenJournalEpoch == seenEpoch && readings > 0 && swaps < 2 ->
#else
#ifdef MUTATION_EPOCH
  :: atomic { seen == NOTHING && readings > 0 && swaps < 2 && seenRevision == revision ->
#else
  :: atomic { seen == NOTHING && seenJournalEpoch == seenEpoch && readings > 0 && swaps < 2 && seenRevision == revision ->
#endif
#endif
       swaps++; writeJournal(p + 1, seenEpoch);
       if
#ifdef MUTATION_ANSWER
       :: seen = p + 1; seenJournalEpoch = seenEpoch; seenRevision = revision
#else
       /* An answer of another epoch is none. */
       :: epoch == seenEpoch -> seen = p + 1; seenJournalEpoch = seenEpoch; seenRevision = revision
#endif
       :: seen = CLOSED; readings = (readings < 4 -> readings : 3)
       fi }
#ifndef MUTATION_EPOCH
  :: atomic { seenJournalEpoch != seenEpoch && readings > 0 && swaps < 2 && seenRevision == revision ->
       swaps++; writeJournal(CLOSED, seenEpoch); seen = CLOSED; seenJournalEpoch = seenEpoch; seenRevision = revision }
#endif
#ifdef MUTATION_EPOCH
  :: atomic { seen != NOTHING && seen != CLOSED && underWay[p] == NOTHING ->
#else
  :: atomic { seen != NOTHING && seen != CLOSED && seenJournalEpoch == seenEpoch && underWay[p] == NOTHING ->
#endif
#ifdef MUTATION_DECIDED
       sent = p + 1;
#else
       sent = seen;
#endif
       underWay[p] = sent; sentRevision = seenRevision; sentEpoch = seenEpoch }
  :: atomic { answered[p] && sentRevision == revision && !acknowledged ->
       writeJournal(sent, sentEpoch); acknowledged = true; answered[p] = false; assert(journal == accepted) }
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

/* A copy is taken at any time, once for each return. */
proctype Store () {
  byte returns = 0;
end:
  do
  :: atomic { copyRevision != revision -> copyJournal = journal; copyJournalEpoch = journalEpoch; copyRevision = revision; copyAcknowledged = acknowledged }
  :: atomic { returns < RESTORES ->
       returns++; epoch++;
       journal = copyJournal; journalEpoch = copyJournalEpoch; revision = copyRevision; acknowledged = copyAcknowledged }
  od
}

init {
  atomic { run Node(0); run Node(1); run Network(); run Store() }
}
