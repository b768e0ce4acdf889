/*
 * Lease with fencing numbers, a paused holder, lost and late messages, and an
 * engine that ignores fencing numbers. Follows internal/core/lease.
 *
 * Time may advance between any two steps, so a process may be paused anywhere.
 * Each process's own clock may lag behind by one tick in all, which MARGIN
 * covers. A commit that was sent may take effect at any later time or never,
 * and so may a repeat of it; its reply may be lost.
 *
 * Two runs: guarded commits, and with ORDERS orders to such an engine.
 *
 * Guards to remove: NO_FENCING (guarded commits carry no condition),
 * NO_WAIT_OUT (the term is not waited out), NO_ORDER_WAIT_OUT (the taker
 * orders at once), NO_RELEASE_WAIT (the lease is released with an order
 * outstanding), NO_MARGIN, TRUST_FROM_REPLY (the lease is trusted from the
 * reply on), NO_ATTEMPT_ID (a lost reply is taken for success).
 */

#define PROCS 2
#define TERM 2
#define LONGEST_ORDER 3
#define MAX_VERSION 4
#define NOBODY 3

#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif

mtype = { None, Acquire, Renew, Release };

/* Lease row and fence row; the fence row's version equals its number. */
byte leaseVersion = 0;
byte leaseHolder = NOBODY;
bool leaseReleased = false;
byte fence = 0;
bool leaseBy[PROCS];         /* the row carries the attempt id of the pending commit */

/* The pending commit of each process: conditions, and the reply to it. */
mtype pending[PROCS] = None;
byte pendingLease[PROCS];
byte pendingFence[PROCS];
bool replied[PROCS];
bool refused[PROCS];

/* Times still to run on each process's own clock. */
byte trustLeft[PROCS];       /* the lease is trusted */
byte pendingTrust[PROCS];    /* it will be, if the pending commit took effect */
byte takeoverLeft[PROCS];    /* until the observed term is waited out */
byte orderWait[PROCS];       /* until orders may be given */
bool lagged[PROCS];

#ifdef ORDERS
bool ordered[PROCS];         /* an order is outstanding */
byte orderLeft[PROCS];       /* time in which it may still take effect */
byte orderFence[PROCS];
#else
bool guarded[MAX_VERSION + 1];  /* guarded commits sent, by fencing number */
#endif
byte effectFence = 0;        /* number of the last order or guarded commit with an effect */

#define HELD(i) (trustLeft[i] > 0)

inline forget(i) {
  pending[i] = None; pendingLease[i] = 0; pendingFence[i] = 0; pendingTrust[i] = 0;
  replied[i] = false; refused[i] = false; leaseBy[i] = false
}

inline down(left) {
  if
  :: left > 0 -> left--
  :: else
  fi
}

/* One tick of a process's own clock. */
inline tick(i) { down(trustLeft[i]); down(pendingTrust[i]); down(takeoverLeft[i]); down(orderWait[i]) }

/* Orders take effect within real time. */
inline expire(i) {
#ifdef ORDERS
  if
  :: ordered[i] && orderLeft[i] == 0 -> ordered[i] = false; orderFence[i] = 0
  :: ordered[i] && orderLeft[i] > 0 -> orderLeft[i]--
  :: else
  fi
#else
  skip
#endif
}

active proctype Time() {
end:
  do
  :: d_step { tick(0); tick(1); expire(0); expire(1) }
  :: d_step { !lagged[0] -> lagged[0] = true; tick(1); expire(0); expire(1) }
  :: d_step { !lagged[1] -> lagged[1] = true; tick(0); expire(0); expire(1) }
  od
}

inline take(i) {
  /* The commit, or a repeat of it, reaches the table service. */
  atomic { pending[i] != None && !replied[i] && !leaseBy[i] &&
    leaseVersion == pendingLease[i] && (pending[i] != Acquire || fence == pendingFence[i]) ->
    leaseVersion++;
    leaseHolder = i;
    leaseReleased = (pending[i] == Release);
    leaseBy[0] = (i == 0);
    leaseBy[1] = (i == 1);
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

inline refuse(i) {
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

#define LAND(n) d_step { guarded[n] && GUARD_HOLDS(n) -> assert(effectFence <= n); effectFence = n }

active proctype TableService() {
end:
  do
  :: take(0)
  :: take(1)
  :: refuse(0)
  :: refuse(1)
#ifndef ORDERS
  /* A guarded commit, however late: none of a former holder takes effect
   * after one of a new holder. */
  :: LAND(1)
  :: LAND(2)
  :: LAND(3)
  :: LAND(4)
#endif
  od
}

#define SETTLE \
       knownLease = pendingLease[me] + 1; \
       if \
       :: pending[me] == Acquire -> knownFence = pendingFence[me] + 1 \
       :: else \
       fi; \
       if \
       :: pending[me] == Release -> free = true \
       :: else -> mine = true; free = false; trustLeft[me] = TRUST \
       fi; \
       forget(me); unknown = false; takeoverLeft[me] = 0

#define LOSE \
       forget(me); known = false; mine = false; free = false; unknown = false; \
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
#define RELEASABLE (!ordered[me] && orderWait[me] == 0)
#endif

#define READY (pending[me] == None && known && knownLease < MAX_VERSION)

proctype Process(byte me) {
  byte knownLease, knownFence;
  bool known, mine, free, unknown;
end:
  do
  /* Observe, without a pending commit. */
  :: d_step { pending[me] == None && !(known && knownLease == leaseVersion) ->
       known = true;
       knownLease = leaseVersion; knownFence = fence;
       mine = mine && leaseHolder == me && !leaseReleased;
       free = (leaseHolder == NOBODY || leaseReleased);
       if
       :: mine || free -> takeoverLeft[me] = 0
       :: else -> takeoverLeft[me] = WAIT_OUT
       fi;
       if
       :: !mine -> trustLeft[me] = 0; orderWait[me] = 0
       :: else
       fi
     }
  :: d_step { READY && !mine && (free || takeoverLeft[me] == 0) ->
       pending[me] = Acquire; pendingLease[me] = knownLease; pendingFence[me] = knownFence;
       pendingTrust[me] = TERM - MARGIN;
       if
       :: free -> orderWait[me] = 0
       :: else -> orderWait[me] = ORDER_WAIT_OUT
       fi
     }
  :: d_step { READY && mine && trustLeft[me] < TERM - MARGIN ->
       pending[me] = Renew; pendingLease[me] = knownLease;
       pendingTrust[me] = TERM - MARGIN
     }
  /* No order of this holder, or of one before it, is outstanding. */
  :: d_step { READY && mine && RELEASABLE ->
       pending[me] = Release; pendingLease[me] = knownLease;
       mine = false; trustLeft[me] = 0; orderWait[me] = 0
     }
  /* Committed: refused. After a lost reply the rows are read again instead. */
  :: d_step { replied[me] && refused[me] && !unknown -> LOSE }
  :: d_step { replied[me] && refused[me] && unknown -> replied[me] = false; refused[me] = false }
  /* Committed: applied. */
  :: d_step { replied[me] && !refused[me] -> SETTLE }
  /* CommitLost. */
  :: d_step { pending[me] != None && !replied[me] && !unknown ->
#ifdef NO_ATTEMPT_ID
       SETTLE
#else
       unknown = true
#endif
     }
  /* Observe, with an unknown outcome: Applied, Superseded. After Retry the
   * commit may still take effect, as before. */
  :: d_step { pending[me] != None && unknown && leaseBy[me] -> SETTLE }
  :: d_step { pending[me] != None && unknown && !leaseBy[me] && leaseVersion != pendingLease[me] -> LOSE }
#ifdef ORDERS
  /* StartOrder. */
  :: d_step { mine && HELD(me) && orderWait[me] == 0 && !ordered[me] ->
       ordered[me] = true;
       orderLeft[me] = LONGEST_ORDER;
       orderFence[me] = knownFence
     }
  /* No order of a former holder takes effect after one of a new holder. */
  :: d_step { ordered[me] ->
       assert(orderFence[me] >= effectFence);
       effectFence = orderFence[me];
       ordered[me] = false; orderLeft[me] = 0; orderFence[me] = 0
     }
#else
  :: d_step { mine && HELD(me) && !guarded[knownFence] -> guarded[knownFence] = true }
#endif
  od
}

init { atomic { run Process(0); run Process(1) } }

/* At no time do two processes trust that they hold the lease. */
active proctype Monitor() {
end:
  atomic { HELD(0) && HELD(1) -> assert(false) }
}
