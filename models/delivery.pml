/*
 * Step commit with lost replies, late commits, a change of coordinator and the
 * removal of orphaned batch bodies. Follows internal/core/delivery.
 *
 * The lease is not modelled: it may change hands at any time, and the former
 * holder may go on. One group makes a batch. Losses and takeovers are bounded,
 * so every run ends; a trainer that is left without its batches is reported as
 * an invalid end state: that is the progress check, under the assumption that
 * a coordinator holds the lease and the table service answers in the end.
 *
 * Guards to remove: NO_FENCING (no condition on the fence row), NO_ATTEMPT_ID
 * (a lost reply is taken for success), NO_MARKS (delivered groups are not
 * excluded).
 */

#define STEPS 2
#define GROUPS 3
#define MAX_FENCE 3
#define MAX_LOST 2
#define BODIES 16

mtype = { None, Fix };

/* Rows: fence, delivery, step. A body is named by its fence and attempt. */
byte fence = 1;
byte holder = 0;
byte deliveryVersion = 0;
bool delivered[GROUPS];
byte stepGroup[STEPS + 1] = 255;
byte stepBody[STEPS + 1];
bool body[BODIES];

/* The pending commit of each coordinator. */
mtype pending[2] = None;
byte wantFence[2];
byte wantDelivery[2];
byte group[2];
byte forStep[2];
bool replied[2];
bool refused[2];

/* The trainer. */
byte step = 1;
byte got[STEPS + 1] = 255;
byte lost = 0;

#define BODY(c) (wantFence[c] * 4 + wantDelivery[c])

#ifdef NO_FENCING
#define FENCE_HOLDS(c) true
#else
#define FENCE_HOLDS(c) (wantFence[c] == fence)
#endif
#define HOLDS(c) (FENCE_HOLDS(c) && wantDelivery[c] == deliveryVersion && stepGroup[forStep[c]] == 255)

inline forget(c) {
  pending[c] = None; wantFence[c] = 0; wantDelivery[c] = 0; group[c] = 0; forStep[c] = 0;
  replied[c] = false; refused[c] = false
}

#define APPLY(c) \
  d_step { pending[c] == Fix && !replied[c] && HOLDS(c) -> \
    stepGroup[forStep[c]] = group[c]; \
    stepBody[forStep[c]] = BODY(c); \
    delivered[group[c]] = true; \
    deliveryVersion++; \
    replied[c] = true }

#define REFUSE(c) \
  d_step { pending[c] == Fix && !replied[c] && !HOLDS(c) -> replied[c] = true; refused[c] = true }

#define APPLIED(c) (stepGroup[forStep[c]] != 255 && stepBody[forStep[c]] == BODY(c))

active proctype TableService() {
end:
  do
  :: APPLY(0)
  :: APPLY(1)
  :: REFUSE(0)
  :: REFUSE(1)
  /* The lease changes hands. */
  :: d_step { fence < MAX_FENCE -> fence++; holder = 1 - holder }
  od
}

/* The trainer takes a batch; it may ask for the same step again before it goes on. */
inline take(s, g) {
  assert(got[s] == 255 || got[s] == g);
  assert(g != got[3 - s]);
  got[s] = g
}

#ifdef NO_MARKS
#define FREE(g) true
#else
#define FREE(g) !delivered[g]
#endif
#define ORPHAN(b) (pending[me] == None && doomed == 0 && body[b] && b / 4 < mine && stepBody[1] != b && stepBody[2] != b)

proctype Coordinator(byte me) {
  byte mine, doomed;
  bool unknown;
end:
  do
  :: atomic { holder == me && mine != fence && pending[me] == None -> mine = fence }
  /* Fetch: any process may answer from a fixed step. */
  :: atomic { step <= STEPS && stepGroup[step] != 255 && got[step] == 255 && pending[me] == None ->
       assert(body[stepBody[step]]);
       take(step, stepGroup[step])
     }
  /* PlanStep by a process that believes to hold the lease, then the body. */
  :: atomic { mine != 0 && pending[me] == None && step <= STEPS && stepGroup[step] == 255 ->
       if
       :: FREE(0) -> group[me] = 0
       :: FREE(1) -> group[me] = 1
       :: FREE(2) -> group[me] = 2
       fi;
       pending[me] = Fix; wantFence[me] = mine; wantDelivery[me] = deliveryVersion;
       forStep[me] = step; body[BODY(me)] = true; unknown = false
     }
  /* Committed. The answer leaves only when the outcome is known. */
  :: atomic { replied[me] && !refused[me] ->
       take(forStep[me], group[me]);
       forget(me)
     }
  :: atomic { replied[me] && refused[me] && !unknown -> forget(me); mine = 0 }
  :: atomic { replied[me] && refused[me] && unknown -> replied[me] = false; refused[me] = false; goto read }
  /* CommitLost. */
  :: atomic { pending[me] == Fix && lost < MAX_LOST ->
       lost++; replied[me] = false; refused[me] = false;
#ifdef NO_ATTEMPT_ID
       take(forStep[me], group[me]);
       forget(me)
#else
       unknown = true; goto read
#endif
     }
  /* Orphans: a body that no row names, of a former holder. */
  :: ORPHAN(4) -> doomed = 4
  :: ORPHAN(5) -> doomed = 5
  :: ORPHAN(8) -> doomed = 8
  :: ORPHAN(9) -> doomed = 9
  :: atomic { doomed != 0 -> body[doomed] = false; doomed = 0 }
  od;
read:
  atomic {
    if
    :: APPLIED(me) -> take(forStep[me], group[me]); forget(me)
    :: !APPLIED(me) && !HOLDS(me) -> forget(me); mine = 0
    :: !APPLIED(me) && HOLDS(me) -> skip   /* Retry: the same commit again */
    fi;
    goto end
  }
}

active proctype Trainer() {
  do
  :: atomic { step <= STEPS && got[step] != 255 -> step++ }
  :: step > STEPS -> break
  od
}

init { atomic { run Coordinator(0); run Coordinator(1) } }
