/*
 * At most once: a non-idempotent request that its caller sends to two handlers
 * at one entry VM and to one at another, with lost replies and crashes.
 * Follows internal/core/claim.
 *
 * A commit that was sent may take effect at any later time. Replies are lost
 * MAX_LOST times in all, so every run ends, and a handler that is left without
 * an answer is reported as an invalid end state: that is the progress check,
 * under the assumption that the table service answers in the end.
 *
 * Guards to remove: NO_ATTEMPT_ID (a handler takes a claim of its own VM for
 * its own), NO_CLAIM_BEFORE_DISPATCH, NO_CONDITION (the claim is written
 * whatever the row holds), RELEASE_UNPROVED (the claim is released although
 * the backend server did not prove that the request was not run).
 */

#define HANDLERS 3
#define MAX_LOST 3
#define VM(h) (h / 2)   /* handlers 0 and 1 are on one VM, 2 on another */

mtype = { None, Insert, RecordOutcome, ReleaseUnrun, Taken, Done, Released };

/* The claim row. */
mtype state = None;
byte version = 0;
byte attempt = 255;     /* handler whose commit wrote it last */

mtype pending[HANDLERS] = None;
byte condition[HANDLERS];
bool replied[HANDLERS];
bool refused[HANDLERS];

byte runs = 0;
byte lost = 0;

#ifdef NO_CONDITION
#define HOLDS(h) (condition[h] == version || pending[h] == Insert)
#else
#define HOLDS(h) (condition[h] == version)
#endif

inline forget(h) { pending[h] = None; condition[h] = 0; replied[h] = false; refused[h] = false }

#define APPLY(h) \
  d_step { pending[h] != None && !replied[h] && HOLDS(h) -> \
    if \
    :: pending[h] == Insert -> state = Taken \
    :: pending[h] == RecordOutcome -> state = Done \
    :: pending[h] == ReleaseUnrun -> state = Released \
    fi; \
    version++; \
    attempt = h * 4 + version; \
    replied[h] = true }

#define REFUSE(h) \
  d_step { pending[h] != None && !replied[h] && !HOLDS(h) -> replied[h] = true; refused[h] = true }

/* The row carries the attempt id of the handler's pending commit. */
#define APPLIED(h) (attempt == h * 4 + condition[h] + 1 && version == condition[h] + 1)

active proctype TableService() {
end:
  do
  :: APPLY(0)
  :: APPLY(1)
  :: APPLY(2)
  :: REFUSE(0)
  :: REFUSE(1)
  :: REFUSE(2)
  od
}

proctype Handler(byte me) {
  bool unknown, claimed;
plan:
  atomic {
    unknown = false;
    if
    :: state == None || state == Released ->
         pending[me] = Insert;
         condition[me] = version
    :: else
    fi
  };
  if
  :: pending[me] == Insert -> skip
  :: pending[me] == None ->
       if
       :: state == Done -> assert(runs == 1)   /* Replay */
       :: else                                 /* InProgress, MayHaveRun */
       fi;
       goto done
  fi;
#ifdef NO_CLAIM_BEFORE_DISPATCH
  goto dispatch;
#endif
wait:
  if
  :: atomic { replied[me] && !refused[me] -> goto dispatch }
  :: atomic { replied[me] && refused[me] && !unknown -> forget(me); goto plan }
  :: atomic { replied[me] && refused[me] && unknown -> replied[me] = false; refused[me] = false; goto read }
  :: atomic { lost < MAX_LOST -> lost++; unknown = true; replied[me] = false; refused[me] = false; goto read }
  :: goto crash
  fi;
read:
  if
#ifdef NO_ATTEMPT_ID
  :: atomic { state == Taken && VM((attempt / 4)) == VM(me) -> goto dispatch }
  :: atomic { !(state == Taken && VM((attempt / 4)) == VM(me)) && version != condition[me] -> forget(me); goto plan }
#else
  :: atomic { APPLIED(me) -> goto dispatch }
  :: atomic { !APPLIED(me) && version != condition[me] -> forget(me); goto plan }
#endif
  :: atomic { version == condition[me] -> goto wait }  /* Retry: the same commit again */
  :: goto crash
  fi;
dispatch:
  atomic { forget(me); claimed = true };
  if
  :: atomic { runs++; assert(runs <= 1) };
     if
     :: goto served
     :: goto noAnswer  /* it ran, but the answer was lost */
     fi
  :: goto noAnswer     /* it did not run, but nobody knows */
  :: goto notRun       /* the backend server proved that it did not run */
  :: goto crash
  fi;
served:
  atomic { pending[me] = RecordOutcome; condition[me] = version };
  goto done;
notRun:
  atomic { pending[me] = ReleaseUnrun; condition[me] = version };
  goto done;
noAnswer:
#ifdef RELEASE_UNPROVED
  goto notRun;
#endif
  goto done;
crash:
done:
  skip
}

init { atomic { run Handler(0); run Handler(1); run Handler(2) } }
