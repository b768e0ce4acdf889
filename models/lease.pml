/*
 * Lease with fencing numbers, a paused holder, lost and delayed messages, and
 * an engine that ignores fencing numbers. Models internal/core/lease.
 *
 * Time may advance between any two steps, so a process may be paused anywhere.
 * Each process's clock may lag by one tick in total, which MARGIN covers. A
 * commit that was sent, or a retry of it, may take effect at any later time or
 * never; its reply may be lost.
 *
 * There are two runs: one with guarded commits, and one with orders to such an
 * engine (ORDERS).
 *
 * Guards that can be removed: NO_FENCING (guarded commits have no condition),
 * NO_WAIT_OUT (a process takes over without waiting for the term to end),
 * NO_ORDER_WAIT_OUT (a new holder sends orders immediately), NO_RELEASE_WAIT
 * (the lease is released with an order outstanding), NO_MARGIN,
 * TRUST_FROM_REPLY (the time for which the lease is trusted starts at the reply
 * instead of the request), NO_ATTEMPT_ID (a commit without a reply is treated
 * as successful).
 */

#define PROCS 2
#define TERM 2
#define LONGEST_ORDER 3
#define MAX_VERSION 4
#define NO_HOLDER 3

#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif

mtype = { None, Acquire, Renew, Release };

/* Lease row and fence row; the fence row's version equals its number. */
byte leaseVersion = 0;
byte leaseHolder = NO_HOLDER;
bool leaseReleased = false;
byte fence = 0;
bool rowHasAttempt[PROCS];  /* the row has the attempt id of the pending commit */

/* The pending commit of each process: its conditions and its reply. */
mtype pending[PROCS] = None;
byte pendingLease[PROCS];
byte pendingFence[PROCS];
bool replied[PROCS];
bool refused[PROCS];

/* Remaining times on each process's clock. */
byte trustLeft[PROCS];     /* for which the lease is trusted */
byte pendingTrust[PROCS];  /* the same if the pending commit took effect */
byte takeoverLeft[PROCS];  /* until the observed term has ended */
byte orderWait[PROCS];     /* until orders may be sent */
bool clockLagged[PROCS];

#ifdef ORDERS
bool orderOutstanding[PROCS];  /* an order is outstanding */
byte orderLeft[PROCS];         /* time for which it may still take effect */
byte orderFence[PROCS];
#else
bool guardedSent[MAX_VERSION + 1];  /* a guarded commit was sent, by fencing number */
#endif
byte effectFence = 0;  /* fencing number of the last order or guarded commit that took effect */

#define TRUSTED(i) (trustLeft[i] > 0)

inline clearPending(i) {
  pending[i] = None; pendingLease[i] = 0; pendingFence[i] = 0; pendingTrust[i] = 0;
  replied[i] = false; refused[i] = false; rowHasAttempt[i] = false
}

inline decrement(left) {
  if
  :: left > 0 -> left--
  :: else
  fi
}

/* One tick of a process's clock. */
inline tick(i) { decrement(trustLeft[i]); decrement(pendingTrust[i]); decrement(takeoverLeft[i]); decrement(orderWait[i]) }

/* Orders expire in real time, not on a process's clock. */
inline advanceOrder(i) {
#ifdef ORDERS
  if
  :: orderOutstanding[i] && orderLeft[i] == 0 -> orderOutstanding[i] = false; orderFence[i] = 0
  :: orderOutstanding[i] && orderLeft[i] > 0 -> orderLeft[i]--
  :: else
  fi
#else
  skip
#endif
}

active proctype Time() {
end:
  do
  :: d_step { tick(0); tick(1); advanceOrder(0); advanceOrder(1) }
  :: d_step { !clockLagged[0] -> clockLagged[0] = true; tick(1); advanceOrder(0); advanceOrder(1) }
  :: d_step { !clockLagged[1] -> clockLagged[1] = true; tick(0); advanceOrder(0); advanceOrder(1) }
  od
}

inline applyCommit(i) {
  /* The commit, or a retry of it, reaches the table service. */
  atomic { pending[i] != None && !replied[i] && !rowHasAttempt[i] &&
    leaseVersion == pendingLease[i] && (pending[i] != Acquire || fence == pendingFence[i]) ->
    leaseVersion++;
    leaseHolder = i;
    leaseReleased = (pending[i] == Release);
    rowHasAttempt[0] = (i == 0);
    rowHasAttempt[1] = (i == 1);
    if
    :: pending[i] == Acquire -> fence++
    :: else
    fi;
    if
    :: replied[i] = true
    :: skip  /* the reply is lost */
    fi
  }
}

inline refuseCommit(i) {
  d_step { pending[i] != None && !replied[i] &&
    !(leaseVersion == pendingLease[i] && (pending[i] != Acquire || fence == pendingFence[i])) ->
    replied[i] = true;
    refused[i] = true
  }
}

#ifdef NO_FENCING
#define GUARD_HOLDS(n) (effectFence != n)
#else
#define GUARD_HOLDS(n) (effectFence != n && fence == n)
#endif

#define APPLY_GUARDED(n) d_step { guardedSent[n] && GUARD_HOLDS(n) -> assert(effectFence <= n); effectFence = n }

active proctype TableService() {
end:
  do
  :: applyCommit(0)
  :: applyCommit(1)
  :: refuseCommit(0)
  :: refuseCommit(1)
#ifndef ORDERS
  /* A guarded commit takes effect, with any delay. None of a previous holder
   * may take effect after one of a new holder. */
  :: APPLY_GUARDED(1)
  :: APPLY_GUARDED(2)
  :: APPLY_GUARDED(3)
  :: APPLY_GUARDED(4)
#endif
  od
}

#define COMMIT_APPLIED \
       knownLease = pendingLease[me] + 1; \
       if \
       :: pending[me] == Acquire -> knownFence = pendingFence[me] + 1 \
       :: else \
       fi; \
       if \
       :: pending[me] == Release -> isFree = true \
       :: else -> isHolder = true; isFree = false; trustLeft[me] = TRUST \
       fi; \
       clearPending(me); outcomeUnknown = false; takeoverLeft[me] = 0

#define DROP_LEASE \
       clearPending(me); observed = false; isHolder = false; isFree = false; outcomeUnknown = false; \
       knownLease = 0; knownFence = 0; \
       trustLeft[me] = 0; takeoverLeft[me] = 0; orderWait[me] = 0

#ifdef TRUST_FROM_REPLY
#define TRUST (TERM - MARGIN)
#else
#define TRUST pendingTrust[me]
#endif

#ifdef NO_WAIT_OUT
#define WAIT_OUT 0
#else
#define WAIT_OUT (TERM + MARGIN)
#endif

#ifdef NO_ORDER_WAIT_OUT
#define ORDER_WAIT_OUT 0
#else
#define ORDER_WAIT_OUT LONGEST_ORDER
#endif

#if !defined(ORDERS) || defined(NO_RELEASE_WAIT)
#define RELEASABLE true
#else
#define RELEASABLE (!orderOutstanding[me] && orderWait[me] == 0)
#endif

#define READY (pending[me] == None && observed && knownLease < MAX_VERSION)

proctype Process(byte me) {
  byte knownLease, knownFence;
  bool observed, isHolder, isFree, outcomeUnknown;
end:
  do
  /* Observe without a pending commit. */
  :: d_step { pending[me] == None && !(observed && knownLease == leaseVersion) ->
       observed = true;
       knownLease = leaseVersion; knownFence = fence;
       isHolder = isHolder && leaseHolder == me && !leaseReleased;
       isFree = (leaseHolder == NO_HOLDER || leaseReleased);
       if
       :: isHolder || isFree -> takeoverLeft[me] = 0
       :: else -> takeoverLeft[me] = WAIT_OUT
       fi;
       if
       :: !isHolder -> trustLeft[me] = 0; orderWait[me] = 0
       :: else
       fi
     }
  :: d_step { READY && !isHolder && (isFree || takeoverLeft[me] == 0) ->
       pending[me] = Acquire; pendingLease[me] = knownLease; pendingFence[me] = knownFence;
       pendingTrust[me] = TERM - MARGIN;
       if
       :: isFree -> orderWait[me] = 0
       :: else -> orderWait[me] = ORDER_WAIT_OUT
       fi
     }
  :: d_step { READY && isHolder && trustLeft[me] < TERM - MARGIN ->
       pending[me] = Renew; pendingLease[me] = knownLease;
       pendingTrust[me] = TERM - MARGIN
     }
  /* Release, only if no order of this or a previous holder is outstanding. */
  :: d_step { READY && isHolder && RELEASABLE ->
       pending[me] = Release; pendingLease[me] = knownLease;
       isHolder = false; trustLeft[me] = 0; orderWait[me] = 0
     }
  /* Committed: refused. If the outcome was unknown, the rows are read again instead. */
  :: d_step { replied[me] && refused[me] && !outcomeUnknown -> DROP_LEASE }
  :: d_step { replied[me] && refused[me] && outcomeUnknown -> replied[me] = false; refused[me] = false }
  /* Committed: applied. */
  :: d_step { replied[me] && !refused[me] -> COMMIT_APPLIED }
  /* CommitLost. */
  :: d_step { pending[me] != None && !replied[me] && !outcomeUnknown ->
#ifdef NO_ATTEMPT_ID
       COMMIT_APPLIED
#else
       outcomeUnknown = true
#endif
     }
  /* Observe with an unknown outcome: Applied or Superseded. After Retry the
   * commit may still take effect. */
  :: d_step { pending[me] != None && outcomeUnknown && rowHasAttempt[me] -> COMMIT_APPLIED }
  :: d_step { pending[me] != None && outcomeUnknown && !rowHasAttempt[me] && leaseVersion != pendingLease[me] -> DROP_LEASE }
#ifdef ORDERS
  /* StartOrder. */
  :: d_step { isHolder && TRUSTED(me) && orderWait[me] == 0 && !orderOutstanding[me] ->
       orderOutstanding[me] = true;
       orderLeft[me] = LONGEST_ORDER;
       orderFence[me] = knownFence
     }
  /* No order of a previous holder takes effect after one of a new holder. */
  :: d_step { orderOutstanding[me] ->
       assert(orderFence[me] >= effectFence);
       effectFence = orderFence[me];
       orderOutstanding[me] = false; orderLeft[me] = 0; orderFence[me] = 0
     }
#else
  :: d_step { isHolder && TRUSTED(me) && !guardedSent[knownFence] -> guardedSent[knownFence] = true }
#endif
  od
}

init { atomic { run Process(0); run Process(1) } }

/* Two processes never trust at the same time that they hold the lease. */
active proctype Monitor() {
end:
  atomic { TRUSTED(0) && TRUSTED(1) -> assert(false) }
}
