/*
 * The chain of configurations: racing operators with lost replies, and entry
 * processes that restart during an outage of the platform and learn from
 * peers. Follows internal/core/configuration.
 *
 * Answers of the platform and of peers may be arbitrarily late. The outage
 * ends, losses and restarts are bounded, and at the end every process must
 * have applied the newest generation: that is the progress check.
 *
 * Two runs: entry processes, and with RACE two operators.
 *
 * Guards to remove: NO_GENERATION_CHECK (Newer is not asked),
 * NO_INCARNATION_CHECK (an answer to the former process on a VM is taken),
 * NO_HEAD_CONDITION (a publish takes effect whatever the head is),
 * NO_ATTEMPT_ID (a lost reply to a publish is taken for success).
 */

#define PROCS 3
#define OPERATORS 2
#define MAX_GENERATION 2
#define MAX_LOST 1
#define MAX_RESTARTS 2

bool up = true;
byte restarts = 0;
byte lost = 0;

/* Head row, and the row of each generation with the attempt that wrote it. */
byte head = 0;
byte madeBy[MAX_GENERATION + 2];

/* Entry processes: zero has applied nothing yet and answers no peer. */
byte applied[PROCS];
byte inForce = 0;   /* newest generation ever applied by every process at once */

/* Answers under way to each process: one from the platform, one from a peer. */
byte offered[2 * PROCS];
bool former[2 * PROCS];   /* meant for the former incarnation on the VM */

#define PLATFORM (2 * me)
#define PEER (2 * me + 1)

#define LEAST(a, b) ((a < b) -> a : b)

inline note() {
  if
  :: LEAST(applied[0], LEAST(applied[1], applied[2])) > inForce ->
       inForce = LEAST(applied[0], LEAST(applied[1], applied[2]))
  :: else
  fi
}

#ifdef NO_GENERATION_CHECK
#define NEWER(slot) true
#else
#define NEWER(slot) (offered[slot] > applied[me])
#endif
#ifdef NO_INCARNATION_CHECK
#define MEANT(slot) true
#else
#define MEANT(slot) (!former[slot])
#endif

/* The answer is made now and arrives later. */
#define ASK(slot, generation) \
  d_step { offered[slot] == 0 && generation > applied[me] -> \
    offered[slot] = generation }

/* Never older than what this process applied, nor than what was in force on
 * every process. */
#define ARRIVE(slot) \
  d_step { offered[slot] != 0 -> \
    if \
    :: NEWER(slot) && MEANT(slot) -> \
         assert(offered[slot] >= applied[me]); \
         assert(offered[slot] >= inForce); \
         applied[me] = offered[slot]; \
         note() \
    :: else \
    fi; \
    offered[slot] = 0; former[slot] = false }

proctype Entry(byte me) {
end:
  do
  :: ASK(PLATFORM, (up -> head : 0))
  :: ASK(PEER, applied[(me + 1) % PROCS])
  :: ASK(PEER, applied[(me + 2) % PROCS])
  :: ARRIVE(PLATFORM)
  :: ARRIVE(PEER)
  :: d_step { restarts < MAX_RESTARTS -> 
       restarts++;
       applied[me] = 0;
       former[PLATFORM] = (offered[PLATFORM] != 0);
       former[PEER] = (offered[PEER] != 0)
     }
  od
}

proctype Operator(byte me) {
  byte base;
  bool sent;
  base = head;
  do
  :: d_step { up && head < MAX_GENERATION && !sent ->
       sent = true
#ifndef NO_HEAD_CONDITION
       ;
       if
       :: head == base ->
            head = base + 1;
            assert(madeBy[base + 1] == 0);   /* one parent, one child */
            madeBy[base + 1] = me + 1
       :: else
       fi
#else
       ;
       head = base + 1;
       assert(madeBy[base + 1] == 0);
       madeBy[base + 1] = me + 1
#endif
     };
     if
     :: skip
     :: atomic { lost < MAX_LOST -> lost++;
#ifdef NO_ATTEMPT_ID
          assert(madeBy[base + 1] == me + 1)   /* told: published */
#endif
        }
     fi;
     /* ResolvePublish: told published only if the row carries the attempt. */
     if
     :: madeBy[base + 1] == me + 1 -> break
     :: else -> base = head; sent = false       /* told: GenerationConflict */
     fi
  :: head >= MAX_GENERATION -> break
  od
}

active proctype Platform() {
  up = false;
  up = true
}

#ifdef RACE
init { atomic { run Operator(0); run Operator(1) } }
#else
active proctype Publishes() {
  do
  :: atomic { head < MAX_GENERATION && up -> head++ }
  :: head == MAX_GENERATION -> break
  od
}

/* Nothing can happen any more. */
active proctype Monitor() {
  timeout ->
  assert(applied[0] == head && applied[1] == head && applied[2] == head)
}

init { atomic { run Entry(0); run Entry(1); run Entry(2) } }
#endif
