/*
 * One bare idempotency key, sent several times through two nodes, each send under an id of its own. The key
 * is claimed in the key-value service by compare-and-swap before an id is dispatched. Writes may take effect
 * late, also after their sender has given up; replies are lost; the service is down at times; nodes die.
 * src/request/claim.ts and src/entry/claim-store.ts follow these steps.
 *
 * Checked after each step: at most one id of the key is dispatched, and none whose caller was told "not run".
 *
 * MUTATIONS: dispatch_without_claim trust_lost_write replace_any forget_refusal
 */
#define SENDS 3
#define NODES 2
#define MOST_ROUNDS 2

/* What its home knows of an id; ids count from 1. */
#define OPEN 0
#define DISPATCHED 1
#define REFUSED 2

byte owner;                /* the claim in the key-value service; 0: none */
byte state[SENDS + 1];
bool alive[NODES] = true;
bool toldNotRun[SENDS + 1];
byte dispatches;

/* Writes of each id on their way, by round. */
bool pending[8];
byte expected[8];
/* Reply to the last write: 0 none yet, 1 swapped, 2 conflict. */
byte reply[SENDS + 1];

#define HOME(id) ((id) % NODES)
#define SLOT(id, round) (((id) - 1) * MOST_ROUNDS + (round))
#define CHECK assert(dispatches <= 1)

inline dispatch (id) {
  assert(!toldNotRun[id]);
  state[id] = DISPATCHED;
  dispatches++;
  CHECK
}

inline refuse (id) {
#ifdef MUTATION_dispatch_without_claim
  dispatch(id)
#else
  state[id] = REFUSED;
  toldNotRun[id] = true
#endif
}

proctype Send (byte me) {
  byte seen;
  byte round;
  bool replaceable;
again:
  atomic {
    if
    :: !alive[HOME(me)] -> goto done
    :: round >= MOST_ROUNDS -> refuse(me); goto done
    :: round < MOST_ROUNDS -> refuse(me); goto done /* the service is down */
    :: round < MOST_ROUNDS -> seen = owner
    fi
  }
  atomic {
    if
    :: !alive[HOME(me)] -> goto done
    :: alive[HOME(me)] && seen == me -> dispatch(me); goto done
    :: alive[HOME(me)] && seen == 0 -> skip
    :: alive[HOME(me)] && seen != 0 && seen != me ->
       /* The owner's home is asked. Dead: may have run. Refused there: its claim may be replaced. */
       replaceable = alive[HOME(seen)] && state[seen] == REFUSED;
#ifdef MUTATION_replace_any
       replaceable = true;
#endif
#ifdef MUTATION_forget_refusal
       if
       :: replaceable -> dispatch(seen); goto done
       :: else -> skip
       fi;
#endif
       if
       :: replaceable -> skip
       :: else -> goto done
       fi
    fi;
    reply[me] = 0;
    expected[SLOT(me, round)] = seen;
    pending[SLOT(me, round)] = true;
    round++
  }
  atomic {
    if
    :: !alive[HOME(me)] -> goto done
    :: alive[HOME(me)] && reply[me] == 1 -> dispatch(me); goto done
    :: alive[HOME(me)] && reply[me] == 2 -> goto again
    /* No reply: the write may have taken effect, or may still. Read back. */
    :: alive[HOME(me)] ->
#ifdef MUTATION_trust_lost_write
       dispatch(me); goto done
#else
       goto again
#endif
    fi
  }
done:
  skip
}

/* The service applies writes at any time, in any order. */
proctype Service () {
  byte id;
  byte round;
end:
  do
  :: atomic {
       select(id : 1 .. SENDS);
       select(round : 0 .. (MOST_ROUNDS - 1));
       if
       :: pending[SLOT(id, round)] ->
          pending[SLOT(id, round)] = false;
          if
          :: owner == expected[SLOT(id, round)] -> owner = id; reply[id] = 1
          :: else -> reply[id] = 2
          fi
       :: else -> skip
       fi;
       id = 0;
       round = 0 }
  od
}

proctype Crash () {
  if
  :: alive[0] = false
  :: alive[1] = false
  :: skip
  fi
}

init {
  atomic {
    byte id;
    for (id : 1 .. SENDS) { run Send(id) }
    run Service();
    run Crash()
  }
}
