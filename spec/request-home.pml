/*
 * One non-idempotent request id: its home, duplicate sends, reclaims with a hand-over, crashes, pauses,
 * lost and doubled messages. src/request/home.ts and src/entry/hand-over.ts follow these steps.
 *
 * A pause is an interleaving: a process that is paused takes no step while the others do. Nobody in the
 * model may act on the belief that another process is dead, so nothing here depends on time.
 *
 * Checked after each step: the id is dispatched at most once, and never when its caller was told "not run".
 *
 * MUTATIONS: give_away_twice dispatch_on_dead_home keep_after_send trust_late_refusal run_dispatched run_refused forget
 */
#define NODES 3
#define HOME 0
#define MOST_SENDS 3
#define MOST_CRASHES 2

/* What a node knows of the id. */
#define NONE 0
#define OPEN 1
#define DISPATCHED 2
#define ENDED 3
#define SENT 4
#define REFUSED 5
#define FORGOTTEN 6

byte record[NODES];
bool alive[NODES] = true;
bool closed[NODES];

/* A hand-over on its way: what was sent, to whom, and how many copies of the message are under way. */
byte handed[NODES];
byte successor[NODES];
byte copies[NODES];
bool resent[NODES];

byte sends;
byte crashes;
byte dispatches;
bool toldNotRun;

#define CHECK assert(dispatches <= 1 && !(toldNotRun && dispatches > 0))

/* A send of the id reaches its home, directly or through another node that asked the home. */
inline submitAtHome () {
  if
  :: record[HOME] == NONE && !closed[HOME] -> record[HOME] = OPEN
  :: record[HOME] == NONE && closed[HOME] -> record[HOME] = REFUSED; toldNotRun = true
#ifdef MUTATION_run_refused
  :: record[HOME] == REFUSED && !closed[HOME] -> record[HOME] = OPEN
#endif
  :: else -> skip
  fi
}

/* A copy of the message reaches the successor: taken, ignored, or refused by one that is leaving itself. */
inline deliver (from, to) {
  if
  :: !alive[to] -> skip
  :: alive[to] && closed[to] ->
     if
     :: skip /* the refusal is lost */
#ifdef MUTATION_trust_late_refusal
     :: alive[from] && record[from] == SENT -> record[from] = handed[from]; copies[from] = 0
#else
     :: alive[from] && record[from] == SENT && !resent[from] -> record[from] = handed[from]
#endif
     fi
  :: alive[to] && !closed[to] && record[to] == NONE ->
#ifdef MUTATION_run_dispatched
     record[to] = OPEN
#else
     record[to] = handed[from]
#endif
  :: else -> skip
  fi
}

active [NODES] proctype Node () {
  byte me = _pid;
  byte to;
  do
  /* A caller sends, for the first time or again. */
  :: atomic { alive[me] && sends < MOST_SENDS ->
       sends++;
       if
       :: alive[HOME] -> submitAtHome()
       :: me != HOME -> /* home cut off or dead: may have run, nothing is recorded */
#ifdef MUTATION_dispatch_on_dead_home
          if
          :: record[me] == NONE -> record[me] = OPEN
          :: else -> skip
          fi
#else
          skip
#endif
       fi;
       CHECK }
  :: atomic { alive[me] && record[me] == OPEN -> record[me] = DISPATCHED; dispatches++; CHECK }
  /* Refused by admission before it was dispatched. */
  :: atomic { alive[me] && record[me] == OPEN -> record[me] = REFUSED; toldNotRun = true; CHECK }
  :: atomic { alive[me] && record[me] == DISPATCHED -> record[me] = ENDED }
  :: atomic { alive[me] && record[me] == ENDED ->
#ifdef MUTATION_forget
       record[me] = NONE
#else
       record[me] = FORGOTTEN
#endif
     }
  /* Announced reclaim. */
  :: atomic { alive[me] && !closed[me] -> closed[me] = true }
  :: atomic { alive[me] && closed[me] && (record[me] == OPEN || record[me] == DISPATCHED) && copies[me] == 0 ->
       select(to : 0 .. (NODES - 1));
       if
       /* A connection that is refused writes no byte: the id is still here. */
       :: to == me || !alive[to] -> skip
       :: else -> handed[me] = record[me]; record[me] = SENT; successor[me] = to; copies[me] = 1; resent[me] = false
       fi;
       to = 0 }
  /* No reply: the same message is sent to the same successor once more. */
  :: atomic { alive[me] && record[me] == SENT && !resent[me] -> resent[me] = true; copies[me]++ }
#ifdef MUTATION_give_away_twice
  :: atomic { alive[me] && record[me] == SENT && copies[me] == 0 ->
       successor[me] = (successor[me] == 1 -> 2 : 1); copies[me] = 1 }
#endif
#ifdef MUTATION_keep_after_send
  :: atomic { alive[me] && record[me] == SENT && handed[me] == OPEN -> record[me] = DISPATCHED; dispatches++; CHECK }
#endif
  :: atomic { copies[me] > 0 -> copies[me]--; deliver(me, successor[me]); CHECK }
  /* A copy is lost. */
  :: atomic { copies[me] > 0 -> copies[me]-- }
  :: atomic { alive[me] && crashes < MOST_CRASHES -> alive[me] = false; crashes++ }
  /* Nothing further can happen here. */
  :: atomic { copies[me] == 0 && (!alive[me] || sends == MOST_SENDS) -> break }
  od
}
