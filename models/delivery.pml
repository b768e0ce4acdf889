/*
 * Commit of training steps with lost replies, delayed commits, a change of
 * coordinator and the removal of orphaned batch bodies. Models
 * internal/core/delivery.
 *
 * The lease is not modelled: it may change hands at any time, and the previous
 * holder may continue. A batch consists of one group. Losses and takeovers are
 * bounded, so every run ends. A trainer that never gets its batches is
 * reported as an invalid end state. This checks progress, assuming that a
 * coordinator holds the lease and the table service eventually answers.
 *
 * Guards that can be removed: NO_FENCING (commits have no condition on the
 * fence row), NO_ATTEMPT_ID (a commit without a reply is treated as
 * successful), NO_MARKS (delivered groups are not excluded).
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
byte expectedFence[2];
byte expectedDelivery[2];
byte group[2];
byte forStep[2];
bool replied[2];
bool refused[2];

/* The trainer. */
byte step = 1;
byte received[STEPS + 1] = 255;
byte lostReplies = 0;

#define BODY(c) (expectedFence[c] * 4 + expectedDelivery[c])

#ifdef NO_FENCING
#define FENCE_HOLDS(c) true
#else
#define FENCE_HOLDS(c) (expectedFence[c] == fence)
#endif
#define CONDITIONS_HOLD(c) (FENCE_HOLDS(c) && expectedDelivery[c] == deliveryVersion && stepGroup[forStep[c]] == 255)

inline clearPending(c) {
  pending[c] = None; expectedFence[c] = 0; expectedDelivery[c] = 0; group[c] = 0; forStep[c] = 0;
  replied[c] = false; refused[c] = false
}

#define APPLY(c) \
  d_step { pending[c] == Fix && !replied[c] && CONDITIONS_HOLD(c) -> \
    stepGroup[forStep[c]] = group[c]; \
    stepBody[forStep[c]] = BODY(c); \
    delivered[group[c]] = true; \
    deliveryVersion++; \
    replied[c] = true }

#define REFUSE(c) \
  d_step { pending[c] == Fix && !replied[c] && !CONDITIONS_HOLD(c) -> replied[c] = true; refused[c] = true }

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

/* The trainer receives a batch. It may request the same step again before the next. */
inline receiveBatch(s, g) {
  assert(received[s] == 255 || received[s] == g);
  assert(g != received[3 - s]);
  received[s] = g
}

#ifdef NO_MARKS
#define IS_UNDELIVERED(g) true
#else
#define IS_UNDELIVERED(g) !delivered[g]
#endif
#define IS_ORPHAN(b) (pending[me] == None && bodyToDelete == 0 && body[b] && b / 4 < heldFence && stepBody[1] != b && stepBody[2] != b)

proctype Coordinator(byte me) {
  byte heldFence, bodyToDelete;
  bool outcomeUnknown;
end:
  do
  :: atomic { holder == me && heldFence != fence && pending[me] == None -> heldFence = fence }
  /* Fetch: any process may answer from a committed step. */
  :: atomic { step <= STEPS && stepGroup[step] != 255 && received[step] == 255 && pending[me] == None ->
       assert(body[stepBody[step]]);
       receiveBatch(step, stepGroup[step])
     }
  /* PlanStep by a process that believes it holds the lease; then the body is stored. */
  :: atomic { heldFence != 0 && pending[me] == None && step <= STEPS && stepGroup[step] == 255 ->
       if
       :: IS_UNDELIVERED(0) -> group[me] = 0
       :: IS_UNDELIVERED(1) -> group[me] = 1
       :: IS_UNDELIVERED(2) -> group[me] = 2
       fi;
       pending[me] = Fix; expectedFence[me] = heldFence; expectedDelivery[me] = deliveryVersion;
       forStep[me] = step; body[BODY(me)] = true; outcomeUnknown = false
     }
  /* Committed. The answer is sent only once the outcome is known. */
  :: atomic { replied[me] && !refused[me] ->
       receiveBatch(forStep[me], group[me]);
       clearPending(me)
     }
  :: atomic { replied[me] && refused[me] && !outcomeUnknown -> clearPending(me); heldFence = 0 }
  :: atomic { replied[me] && refused[me] && outcomeUnknown -> replied[me] = false; refused[me] = false; goto read }
  /* CommitLost. */
  :: atomic { pending[me] == Fix && lostReplies < MAX_LOST ->
       lostReplies++; replied[me] = false; refused[me] = false;
#ifdef NO_ATTEMPT_ID
       receiveBatch(forStep[me], group[me]);
       clearPending(me)
#else
       outcomeUnknown = true; goto read
#endif
     }
  /* Removal of orphans: bodies of a previous holder that no row refers to. */
  :: IS_ORPHAN(4) -> bodyToDelete = 4
  :: IS_ORPHAN(5) -> bodyToDelete = 5
  :: IS_ORPHAN(8) -> bodyToDelete = 8
  :: IS_ORPHAN(9) -> bodyToDelete = 9
  :: atomic { bodyToDelete != 0 -> body[bodyToDelete] = false; bodyToDelete = 0 }
  od;
read:
  atomic {
    if
    :: APPLIED(me) -> receiveBatch(forStep[me], group[me]); clearPending(me)
    :: !APPLIED(me) && !CONDITIONS_HOLD(me) -> clearPending(me); heldFence = 0
    :: !APPLIED(me) && CONDITIONS_HOLD(me) -> skip   /* Retry: send the same commit again */
    fi;
    goto end
  }
}

active proctype Trainer() {
  do
  :: atomic { step <= STEPS && received[step] != 255 -> step++ }
  :: step > STEPS -> break
  od
}

init { atomic { run Coordinator(0); run Coordinator(1) } }
