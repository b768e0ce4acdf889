/*
 * The chain of configuration generations. Several operators publish at the
 * same time, and replies may be lost. Entry processes restart during an outage
 * of the platform and fetch the configuration from peers. Models
 * internal/core/configuration.
 *
 * Answers of the platform and of peers may be delayed arbitrarily. The outage
 * ends, and losses and restarts are bounded. At the end every process must
 * have applied the newest generation; this checks progress.
 *
 * There are two runs: one with entry processes, and one with two operators
 * (RACE).
 *
 * Guards that can be removed: NO_GENERATION_CHECK (a process does not check
 * that an answer is newer), NO_INCARNATION_CHECK (a process accepts an answer
 * to the previous process on its VM), NO_HEAD_CONDITION (a publish takes
 * effect regardless of the head), NO_ATTEMPT_ID (a publish without a reply is
 * treated as successful).
 */

#define PROCS 3
#define OPERATORS 2
#define MAX_GENERATION 2
#define MAX_LOST 1
#define MAX_RESTARTS 2

bool platformUp = true;
byte restarts = 0;
byte lostReplies = 0;

/* Head row, and the operator (from 1) that wrote the row of each generation. */
byte head = 0;
byte writtenBy[MAX_GENERATION + 2];

/* Generation applied by each entry process. A process at zero has applied none
 * yet and answers no peer. */
byte applied[PROCS];
byte inForce = 0;  /* newest generation that all processes had applied at the same time */

/* Answers in transit to each process: one from the platform, one from a peer. */
byte answer[2 * PROCS];
bool forOldIncarnation[2 * PROCS];  /* addressed to the previous incarnation on the VM */

#define PLATFORM (2 * me)
#define PEER (2 * me + 1)

#define MIN(a, b) ((a < b) -> a : b)

inline updateInForce() {
  if
  :: MIN(applied[0], MIN(applied[1], applied[2])) > inForce ->
       inForce = MIN(applied[0], MIN(applied[1], applied[2]))
  :: else
  fi
}

#ifdef NO_GENERATION_CHECK
#define NEWER(slot) true
#else
#define NEWER(slot) (answer[slot] > applied[me])
#endif
#ifdef NO_INCARNATION_CHECK
#define FOR_THIS_INCARNATION(slot) true
#else
#define FOR_THIS_INCARNATION(slot) (!forOldIncarnation[slot])
#endif

/* The answer is created now and arrives later. */
#define REQUEST(slot, generation) \
  d_step { answer[slot] == 0 && generation > applied[me] -> \
    answer[slot] = generation }

/* An accepted answer is never older than what this process has applied, nor
 * than what all processes had applied at the same time. */
#define RECEIVE(slot) \
  d_step { answer[slot] != 0 -> \
    if \
    :: NEWER(slot) && FOR_THIS_INCARNATION(slot) -> \
         assert(answer[slot] >= applied[me]); \
         assert(answer[slot] >= inForce); \
         applied[me] = answer[slot]; \
         updateInForce() \
    :: else \
    fi; \
    answer[slot] = 0; forOldIncarnation[slot] = false }

proctype Entry(byte me) {
end:
  do
  :: REQUEST(PLATFORM, (platformUp -> head : 0))
  :: REQUEST(PEER, applied[(me + 1) % PROCS])
  :: REQUEST(PEER, applied[(me + 2) % PROCS])
  :: RECEIVE(PLATFORM)
  :: RECEIVE(PEER)
  :: d_step { restarts < MAX_RESTARTS ->
       restarts++;
       applied[me] = 0;
       forOldIncarnation[PLATFORM] = (answer[PLATFORM] != 0);
       forOldIncarnation[PEER] = (answer[PEER] != 0)
     }
  od
}

proctype Operator(byte me) {
  byte base;
  bool publishSent;
  base = head;
  do
  :: d_step { platformUp && head < MAX_GENERATION && !publishSent ->
       publishSent = true
#ifndef NO_HEAD_CONDITION
       ;
       if
       :: head == base ->
            head = base + 1;
            assert(writtenBy[base + 1] == 0);   /* each generation has one successor */
            writtenBy[base + 1] = me + 1
       :: else
       fi
#else
       ;
       head = base + 1;
       assert(writtenBy[base + 1] == 0);
       writtenBy[base + 1] = me + 1
#endif
     };
     if
     :: skip
     :: atomic { lostReplies < MAX_LOST -> lostReplies++;
#ifdef NO_ATTEMPT_ID
          assert(writtenBy[base + 1] == me + 1)   /* the operator is told that it published */
#endif
        }
     fi;
     /* ResolvePublish: the publish succeeded only if the row has its attempt id. */
     if
     :: writtenBy[base + 1] == me + 1 -> break
     :: else -> base = head; publishSent = false       /* the operator gets GenerationConflict */
     fi
  :: head >= MAX_GENERATION -> break
  od
}

active proctype Platform() {
  platformUp = false;
  platformUp = true
}

#ifdef RACE
init { atomic { run Operator(0); run Operator(1) } }
#else
active proctype Publishes() {
  do
  :: atomic { head < MAX_GENERATION && platformUp -> head++ }
  :: head == MAX_GENERATION -> break
  od
}

/* Runs when no other process can take a step. */
active proctype Monitor() {
  timeout ->
  assert(applied[0] == head && applied[1] == head && applied[2] == head)
}

init { atomic { run Entry(0); run Entry(1); run Entry(2) } }
#endif
