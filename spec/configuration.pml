/*
 * Acceptance of configuration changes by compare-and-swap, with requests that arrive late, replies
 * that are lost, operators that race, and a node that hears revisions from the service and from peers,
 * late and out of order.
 *
 * Checked: an operator told "accepted" has its change in the history; one told "conflict" never has,
 * then or later; no node goes back to a lower revision.
 *
 * MUTATIONS: CHANGE_ID READ_BACK REPEAT APPLY_HIGHER ARCHIVE
 * CHANGE_ID: the read-back compares the revision's number alone. READ_BACK: a change without a reply
 * is taken for accepted. REPEAT: a read-back that still sees the old revision is taken for a conflict
 * although the request may still arrive. APPLY_HIGHER: a node puts in force whatever it hears.
 * ARCHIVE: a superseded revision is not kept, and its absence is taken for a conflict.
 */
#define OPERATORS 3
#define COPIES 2              /* the first operator repeats its request; the others send one, to bound the search */
#define LAST 4                /* revisions 1 to 4; 1 is there from the start */
#define NOBODY 9

byte current = 1;             /* revision in the service */
byte author[5] = NOBODY;      /* true author of each revision */
byte archived[5] = NOBODY;    /* what the history key of each revision holds */

bool underWay[5];             /* requests by operator and copy */
byte expects[OPERATORS];
byte reply[OPERATORS];        /* 0 none, 1 swapped, 2 conflict */

#define UNDECIDED 0
#define ACCEPTED 1
#define CONFLICT 2
#define UNKNOWN 3
byte told[OPERATORS];

byte inForce = 0;             /* at a node */
byte message = 0;             /* a revision under way to it from a peer, however old */

proctype Operator (byte o) {
  byte copies = 0;
  byte most = COPIES;
  if
  :: o > 0 -> most = 1
  :: else
  fi;
  byte mine;
  atomic {
    expects[o] = current;
    mine = current + 1;
#ifndef MUTATION_ARCHIVE
    archived[current] = author[current]
#endif
  }
  do
  :: told[o] != UNDECIDED -> break
  :: atomic { told[o] == UNDECIDED && copies < most && !underWay[o * COPIES + copies] && (copies == 0 || reply[o] == 0) ->
       underWay[o * COPIES + copies] = true; copies++ }
  :: atomic { told[o] == UNDECIDED && reply[o] == 1 -> told[o] = ACCEPTED }
  /* A conflict, or no reply in time: read back. */
  :: atomic { told[o] == UNDECIDED && copies > 0 && reply[o] != 1 ->
       if
#ifdef MUTATION_READ_BACK
       :: reply[o] == 0 -> told[o] = ACCEPTED
#endif
       :: current < mine ->
#ifdef MUTATION_REPEAT
            told[o] = CONFLICT
#else
            if
            :: copies == most -> told[o] = UNKNOWN
            :: else
            fi
#endif
       :: current == mine ->
#ifdef MUTATION_CHANGE_ID
            told[o] = ACCEPTED
#else
            if
            :: author[mine] == o -> told[o] = ACCEPTED
            :: else -> told[o] = CONFLICT
            fi
#endif
       :: current > mine ->
            if
            :: archived[mine] == o -> told[o] = ACCEPTED
            :: else -> told[o] = CONFLICT
            fi
       /* The service does not answer the read-back. */
       :: told[o] = UNKNOWN
       fi }
  od
}

inline arrive (o, c) {
  underWay[o * COPIES + c] = false;
  if
  :: expects[o] == current && current < LAST ->
       current++;
       author[current] = o;
       if
       :: reply[o] = 1
       :: skip                 /* the reply is lost */
       fi
  :: else ->
       if
       :: reply[o] == 0 -> reply[o] = 2
       :: skip
       fi
  fi
}

proctype Service () {
end:
  do
  :: atomic { underWay[0] -> arrive(0, 0) }
  :: atomic { underWay[1] -> arrive(0, 1) }
  :: atomic { underWay[2] -> arrive(1, 0) }
  :: atomic { underWay[4] -> arrive(2, 0) }
  od
}

inline hear (revision) {
#ifdef MUTATION_APPLY_HIGHER
  assert(revision >= inForce);
  inForce = revision
#else
  if
  :: revision > inForce -> inForce = revision
  :: else
  fi
#endif
}

proctype Node () {
end:
  do
  :: atomic { inForce != current -> hear(current) }
  :: atomic { message == 0 -> message = current }
  :: atomic { message > 0 -> hear(message); message = 0 }
  od
}

#define WROTE(o) (author[2] == o || author[3] == o || author[4] == o)

proctype Monitor () {
end:
  do
  :: atomic { told[0] == CONFLICT -> assert(!WROTE(0)) }
  :: atomic { told[1] == CONFLICT -> assert(!WROTE(1)) }
  :: atomic { told[2] == CONFLICT -> assert(!WROTE(2)) }
  :: atomic { told[0] == ACCEPTED -> assert(WROTE(0)) }
  :: atomic { told[1] == ACCEPTED -> assert(WROTE(1)) }
  :: atomic { told[2] == ACCEPTED -> assert(WROTE(2)) }
  od
}

init {
  author[1] = 8;
  atomic { run Operator(0); run Operator(1); run Operator(2); run Service(); run Node(); run Monitor() }
}
