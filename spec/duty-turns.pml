/*
 * The duties of the gateway nodes: a lease in the store, whose key vanishes when it isn't renewed, with a
 * fencing number that rises with each grant. A node that holds it calls the platform; a call is under way
 * for a while and may arrive late, after calls of the next holder. Nodes are killed and start again, are
 * paused between their check and their call, and are cut off from the store.
 *
 * Checked: the platform never carries out a call with a number below the highest that it has seen; a
 * number never belongs to two nodes; no node acts, another acts, and the first acts again within the time
 * of the lease, counted by when they send.
 *
 * MUTATIONS: FENCE WAIT RESTART OWN_CLOCK
 * FENCE: the platform carries out calls with any number. WAIT: a node that takes the lease again acts at
 * once. RESTART: a node that starts again takes it that it has never acted. OWN_CLOCK: a holder goes on
 * until the store tells it, not by its own clock.
 */
#define NODES 2
#define LEASE 3
#define END 8
#define TERMS 3
#define KILLS 2
#define NOBODY 9
#define NEVER 0

byte now = LEASE;             /* steady time; it starts late enough for "long ago" to be NEVER */
byte keyHolder = NOBODY;
byte keyUntil = 0;
byte given = 0;               /* last number given */
byte ownerOf[TERMS + 1] = NOBODY;

byte number[NODES];           /* 0: holds nothing */
byte provenUntil[NODES];      /* by the node's own clock, from before it asked */
byte mayActFrom[NODES];
byte lastActed[NODES];        /* as the node remembers it */

byte sentAt[NODES];           /* truth: when each node last acted */
byte lastSender = NOBODY;

bool used[NODES];             /* one call under way of each node */
byte slotNumber[NODES];
byte highest = 0;             /* at the platform */
byte carriedOut = 0;
byte kills = 0;

inline noteSent (p) {
  if
  :: lastSender != NOBODY && lastSender != p ->
       /* The other has acted since this one did. */
       assert(sentAt[p] == NEVER || now - sentAt[p] >= LEASE)
  :: else
  fi;
  sentAt[p] = now;
  lastSender = p
}

proctype Node (byte p) {
end:
  do
  /* Takes the free key, or renews its own. Its proof runs from the time of asking, which is now. */
  :: atomic { keyHolder == NOBODY && number[p] == 0 && given < TERMS ->
       given++;
       keyHolder = p; keyUntil = now + LEASE;
       assert(ownerOf[given] == NOBODY);
       ownerOf[given] = p;
       number[p] = given; provenUntil[p] = now + LEASE - 1;
#ifdef MUTATION_WAIT
       mayActFrom[p] = 0
#else
       mayActFrom[p] = lastActed[p] + (lastActed[p] == NEVER -> 0 : LEASE)
#endif
     }
  :: atomic { keyHolder == p && number[p] != 0 && now <= provenUntil[p] -> keyUntil = now + LEASE; provenUntil[p] = now + LEASE - 1 }
  /* A call, as far as the proof goes. */
#ifdef MUTATION_OWN_CLOCK
  :: atomic { number[p] != 0 && now >= mayActFrom[p] && !used[p] ->
#else
  :: atomic { number[p] != 0 && now <= provenUntil[p] && now >= mayActFrom[p] && !used[p] ->
#endif
       used[p] = true; slotNumber[p] = number[p]; lastActed[p] = now; noteSent(p) }
  /* Its proof is over, or the store has told it. */
  :: atomic { number[p] != 0 && (now > provenUntil[p] || keyHolder != p) -> number[p] = 0; provenUntil[p] = 0; mayActFrom[p] = 0 }
  /* Killed and started again: it may have acted until this moment. */
  :: atomic { kills < KILLS && (number[p] != 0 || lastActed[p] != NEVER) ->
       kills++;
       number[p] = 0; provenUntil[p] = 0; mayActFrom[p] = 0;
#ifdef MUTATION_RESTART
       lastActed[p] = NEVER
#else
       lastActed[p] = now
#endif
     }
  od
}

proctype Service () {
end:
  do
  :: atomic { keyHolder != NOBODY && now >= keyUntil -> keyHolder = NOBODY }
  /* A planned stop gives the lease back. */
  :: atomic { keyHolder != NOBODY && number[keyHolder] == 0 -> keyHolder = NOBODY }
  od
}

inline arrive (p) {
  used[p] = false;
#ifdef MUTATION_FENCE
  assert(slotNumber[p] >= carriedOut);
  carriedOut = slotNumber[p];
#else
  if
  :: slotNumber[p] >= highest -> highest = slotNumber[p]; assert(slotNumber[p] >= carriedOut); carriedOut = slotNumber[p]
  :: else
  fi;
#endif
  slotNumber[p] = 0
}

proctype Network () {
end:
  do
  :: atomic { used[0] -> arrive(0) }
  :: atomic { used[1] -> arrive(1) }
  od
}

proctype Time () {
  do
  :: atomic { now < END -> now++ }
  :: now == END -> break
  od
}

init {
  atomic { run Node(0); run Node(1); run Service(); run Network(); run Time() }
}
