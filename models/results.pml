/*
 * The results of a job: rows at consecutive positions, stored by coordinators
 * that follow each other. Follows internal/app/relay/listing.go and
 * internal/core/job.
 *
 * A coordinator may be paused anywhere and go on after another one has taken
 * the lease. It reads what is listed when it takes the lease, and from then on
 * knows only what it stores itself. A transaction may take effect at once, at
 * any later time or never, and its reply may be lost; one whose reply was lost
 * is settled by reading its position before anything else is stored.
 *
 * Promises: a position that holds a result keeps it, and no item stands at two
 * positions.
 *
 * Guards to remove: NO_ABSENT (a transaction does not ask that its position is
 * free) and NO_SETTLE (a lost reply is taken for a refusal, and the next
 * transaction takes the same position). Each of them alone suffices for these
 * promises, so that only the run without both is refuted. The condition on the
 * fence row keeps a former coordinator's results out; for positions it is no
 * guard of its own.
 */

#define PROCS 2
#define ITEMS 3
#define FREE 0

/* The store: fence row, and for each position the item that it holds, from 1. */
byte fence = 0;
byte held[ITEMS];

/* A transaction that has been sent and may still take effect. */
bool flying[PROCS];
byte flyingFence[PROCS];
byte flyingAt[PROCS];
byte flyingItem[PROCS];

/* What may still arrive of transactions whose sender has given up on them. */
bool late[PROCS];
byte lateFence[PROCS];
byte lateAt[PROCS];
byte lateItem[PROCS];

inline apply(guard, at, item, ok) {
	ok = false;
	if
#ifdef NO_ABSENT
	:: guard == fence ->
#else
	:: guard == fence && held[at] == FREE ->
#endif
		assert(held[at] == FREE || held[at] == item);
		byte other;
		for (other : 0 .. ITEMS - 1) {
			assert(other == at || held[other] != item)
		}
		held[at] = item;
		ok = true
	:: else -> skip
	fi
}

proctype Coordinator(byte me) {
	byte mine = 0;          /* fence of the lease held, 0 for none */
	byte next = 0;          /* position of the next result */
	bool listed[ITEMS];     /* items known to be listed */
	byte i;
	bool ok;
	do
	/* Takes the lease and reads the positions. */
	:: atomic { fence < 3 && !flying[me] ->
		fence++;
		mine = fence;
		next = 0;
		for (i : 0 .. ITEMS - 1) { listed[i] = false }
		for (i : 0 .. ITEMS - 1) {
			if
			:: held[i] != FREE -> listed[held[i] - 1] = true; next = i + 1
			:: else -> skip
			fi
		}
	   }
	/* Sends a result that is not listed. */
	:: atomic { mine != 0 && !flying[me] && next < ITEMS ->
		i = 0;
		do
		:: i < ITEMS && listed[i] -> i++
		:: i < ITEMS - 1 && !listed[i] -> i++
		:: i < ITEMS && !listed[i] -> break
		:: else -> break
		od;
		if
		:: i < ITEMS && !listed[i] ->
			flying[me] = true;
			flyingFence[me] = mine;
			flyingAt[me] = next;
			flyingItem[me] = i + 1
		:: else -> skip
		fi
	   }
	/* It takes effect or is refused, and the reply arrives. */
	:: atomic { flying[me] ->
		apply(flyingFence[me], flyingAt[me], flyingItem[me], ok);
		flying[me] = false;
		if
		:: ok -> listed[flyingItem[me] - 1] = true; next = flyingAt[me] + 1
		:: else -> mine = 0
		fi
	   }
	/* The reply is lost: before the effect, or after it. */
	:: atomic { flying[me] && !late[me] ->
		if
		:: apply(flyingFence[me], flyingAt[me], flyingItem[me], ok)
		:: late[me] = true;
		   lateFence[me] = flyingFence[me];
		   lateAt[me] = flyingAt[me];
		   lateItem[me] = flyingItem[me]
		fi;
#ifdef NO_SETTLE
		flying[me] = false
#else
		/* Read the position: held by the item, it took effect; free, the very
		 * same transaction is sent again; else another one came first. */
		if
		:: held[flyingAt[me]] == flyingItem[me] ->
			flying[me] = false;
			listed[flyingItem[me] - 1] = true;
			next = flyingAt[me] + 1
		:: held[flyingAt[me]] == FREE -> skip
		:: else -> flying[me] = false; mine = 0
		fi
#endif
	   }
	/* A late transaction arrives. */
	:: atomic { late[me] ->
		late[me] = false;
		apply(lateFence[me], lateAt[me], lateItem[me], ok)
	   }
	:: break
	od
}

init {
	atomic { run Coordinator(0); run Coordinator(1) }
}
