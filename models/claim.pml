/*
 * At-most-once execution: the caller of a non-idempotent request sends it to
 * two handlers on one entry VM and to one on another VM. Replies may be lost
 * and handlers may crash. Models internal/core/claim.
 *
 * A commit that was sent may take effect at any later time. At most MAX_LOST
 * replies are lost in total, so every run ends. A handler that never gets an
 * answer is reported as an invalid end state. This checks progress, assuming
 * that the table service eventually answers.
 *
 * Guards that can be removed: NO_ATTEMPT_ID (a handler treats any claim
 * written from its VM as its own), NO_CLAIM_BEFORE_DISPATCH, NO_CONDITION (the
 * claim is written regardless of the row's content), RELEASE_UNPROVED (the
 * claim is released although the backend server did not prove that the request
 * was not run).
 */

#define HANDLERS 3
#define MAX_LOST 3
#define VM(h) (h / 2)   /* handlers 0 and 1 run on one VM, 2 on another */

mtype = { None, Insert, RecordOutcome, ReleaseUnrun, Taken, Done, Released };

/* The claim row. */
mtype state = None;
byte version = 0;
byte writerAttempt = 255;  /* attempt id of the commit that wrote the row last */

mtype pending[HANDLERS] = None;
byte condition[HANDLERS];
bool replied[HANDLERS];
bool refused[HANDLERS];

byte runs = 0;
byte lostReplies = 0;

#ifdef NO_CONDITION
#define CONDITION_HOLDS(h) (condition[h] == version || pending[h] == Insert)
#else
#define CONDITION_HOLDS(h) (condition[h] == version)
#endif

inline clearPending(h) { pending[h] = None; condition[h] = 0; replied[h] = false; refused[h] = false }

#define APPLY(h) \
  d_step { pending[h] != None && !replied[h] && CONDITION_HOLDS(h) -> \
    if \
    :: pending[h] == Insert -> state = Taken \
    :: pending[h] == RecordOutcome -> state = Done \
    :: pending[h] == ReleaseUnrun -> state = Released \
    fi; \
    version++; \
    writerAttempt = h * 4 + version; \
    replied[h] = true }

#define REFUSE(h) \
  d_step { pending[h] != None && !replied[h] && !CONDITION_HOLDS(h) -> replied[h] = true; refused[h] = true }

/* True if the row has the attempt id of the handler's pending commit. */
#define APPLIED(h) (writerAttempt == h * 4 + condition[h] + 1 && version == condition[h] + 1)

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
  bool outcomeUnknown, claimed;
plan:
  atomic {
    outcomeUnknown = false;
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
  :: atomic { replied[me] && refused[me] && !outcomeUnknown -> clearPending(me); goto plan }
  :: atomic { replied[me] && refused[me] && outcomeUnknown -> replied[me] = false; refused[me] = false; goto read }
  :: atomic { lostReplies < MAX_LOST -> lostReplies++; outcomeUnknown = true; replied[me] = false; refused[me] = false; goto read }
  :: goto crash
  fi;
read:
  if
#ifdef NO_ATTEMPT_ID
  :: atomic { state == Taken && VM((writerAttempt / 4)) == VM(me) -> goto dispatch }
  :: atomic { !(state == Taken && VM((writerAttempt / 4)) == VM(me)) && version != condition[me] -> clearPending(me); goto plan }
#else
  :: atomic { APPLIED(me) -> goto dispatch }
  :: atomic { !APPLIED(me) && version != condition[me] -> clearPending(me); goto plan }
#endif
  :: atomic { version == condition[me] -> goto wait }  /* Retry: send the same commit again */
  :: goto crash
  fi;
dispatch:
  atomic { clearPending(me); claimed = true };
  if
  :: atomic { runs++; assert(runs <= 1) };
     if
     :: goto served
     :: goto noAnswer  /* the request ran, but the answer was lost */
     fi
  :: goto noAnswer     /* the request did not run, but the handler cannot know */
  :: goto notRun       /* the backend server proved that the request did not run */
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
