/*
 * The planners' lease, its fencing number, and two engines: engine 0 checks the number of an order,
 * engine 1 ignores it. A holder may be paused between its check of the lease and its sending; orders
 * may be late or lost; the reply that granted the lease may be lost; engines report late.
 *
 * Checked: never do two planners take themselves for the holder; the checking engine never goes back
 * to an earlier holder's order; when nothing is under way any more and the holder is content, both
 * engines are in the state that it wants.
 *
 * MUTATIONS: SELF_STOP FENCING RECONCILE READ_BACK
 * SELF_STOP: the holder does not stop by its own clock. FENCING: engine 0 ignores the number as well.
 * RECONCILE: a holder orders each engine once and never compares again. READ_BACK: a planner whose
 * grant's reply was lost takes itself for the holder without asking again.
 */
#define PLANNERS 2
#define ENGINES 2
#define SLOTS 2
#define TERMS 3
#define NOBODY 9

byte keyHolder = NOBODY;      /* who is written in the key-value service */
byte fencing = 0;             /* last number given */

bool believes[PLANNERS];      /* the planner's own clock says that it holds the lease */
bool asked[PLANNERS];         /* a grant whose reply was lost */
byte number[PLANNERS];
bool decided[PLANNERS];       /* an order is decided and not sent yet: a pause fits here */
byte decidedEngine[PLANNERS];
byte decidedNumber[PLANNERS];
bool ordered[4];              /* by planner and engine, in this term */

bool used[SLOTS];             /* orders under way */
byte slotEngine[SLOTS];
byte slotNumber[SLOTS];

byte state[ENGINES];          /* number of the holder whose wish the engine follows */
byte reported[ENGINES];
byte highest = 0;             /* highest number that engine 0 has seen */

#define FREE(s) (!used[s])
#define ORDERED(p, e) ordered[p * ENGINES + e]

inline takeTerm (p) {
  number[p] = fencing;
  believes[p] = true;
  asked[p] = false;
  ORDERED(p, 0) = false;
  ORDERED(p, 1) = false;
  assert(!believes[1 - p])
}

#ifdef MUTATION_RECONCILE
#define WANTS(p, e) (!ORDERED(p, e))
#else
#define WANTS(p, e) (reported[e] != number[p])
#endif

proctype Planner (byte p) {
  byte e = 0;
end:
  do
  :: atomic { keyHolder == NOBODY && !believes[p] && !asked[p] && fencing < TERMS ->
       fencing++;
       keyHolder = p;
       if
       :: takeTerm(p)
       :: asked[p] = true
       fi }
#ifdef MUTATION_READ_BACK
  :: atomic { asked[p] -> takeTerm(p) }
#else
  :: atomic { asked[p] && keyHolder == p -> takeTerm(p) }
#endif
  :: atomic { asked[p] && keyHolder != p -> asked[p] = false }
  :: atomic { believes[p] && !decided[p] && WANTS(p, 0) -> decided[p] = true; decidedEngine[p] = 0; decidedNumber[p] = number[p]; ORDERED(p, 0) = true }
  :: atomic { believes[p] && !decided[p] && WANTS(p, 1) -> decided[p] = true; decidedEngine[p] = 1; decidedNumber[p] = number[p]; ORDERED(p, 1) = true }
  :: atomic { decided[p] && (FREE(0) || FREE(1)) ->
       if
       :: FREE(0) -> e = 0
       :: else -> e = 1
       fi;
       used[e] = true; slotEngine[e] = decidedEngine[p]; slotNumber[e] = decidedNumber[p];
       decided[p] = false; e = 0 }
  /* The holder's own bound passes, or it could not renew. */
  :: atomic { believes[p] && fencing < TERMS -> believes[p] = false }
  od
}

proctype Service () {
end:
  do
#ifdef MUTATION_SELF_STOP
  :: atomic { keyHolder != NOBODY && fencing < TERMS -> keyHolder = NOBODY }
#else
  :: atomic { keyHolder != NOBODY && fencing < TERMS && !believes[keyHolder] -> keyHolder = NOBODY }
#endif
  od
}

inline obey (s) {
  if
  :: slotEngine[s] == 0 ->
#ifdef MUTATION_FENCING
       assert(slotNumber[s] >= state[0]);
       state[0] = slotNumber[s]
#else
       if
       :: slotNumber[s] >= highest -> highest = slotNumber[s]; assert(slotNumber[s] >= state[0]); state[0] = slotNumber[s]
       :: else
       fi
#endif
  :: else -> state[1] = slotNumber[s]
  fi;
  used[s] = false; slotEngine[s] = 0; slotNumber[s] = 0
}

proctype Network () {
end:
  do
  :: atomic { used[0] -> obey(0) }
  :: atomic { used[1] -> obey(1) }
#ifndef MUTATION_RECONCILE
  /* A lost order is sent again only by a holder that compares. */
  :: atomic { used[0] -> used[0] = false; slotEngine[0] = 0; slotNumber[0] = 0 }
  :: atomic { used[1] -> used[1] = false; slotEngine[1] = 0; slotNumber[1] = 0 }
#endif
  :: atomic { reported[0] != state[0] -> reported[0] = state[0] }
  :: atomic { reported[1] != state[1] -> reported[1] = state[1] }
  od
}

#define QUIET (!used[0] && !used[1] && !decided[0] && !decided[1] && reported[0] == state[0] && reported[1] == state[1])
#define CONTENT(p) (believes[p] && !WANTS(p, 0) && !WANTS(p, 1))

proctype Monitor () {
end:
  do
  :: atomic { QUIET && CONTENT(0) -> assert(state[0] == number[0] && state[1] == number[0]) }
  :: atomic { QUIET && CONTENT(1) -> assert(state[0] == number[1] && state[1] == number[1]) }
  od
}

init {
  atomic { run Planner(0); run Planner(1); run Service(); run Network(); run Monitor() }
}
