/*
 * The results of a job: rows at consecutive positions, stored by successive
 * coordinators. Models internal/app/relay/listing.go and internal/core/job.
 *
 * A coordinator may be paused anywhere and continue after another one has
 * taken the lease. It reads the listed results when it takes the lease, and
 * after that knows only of those that it stores itself. A transaction may take
 * effect immediately, at any later time or never, and its reply may be lost.
 * After a lost reply, the coordinator reads the position to resolve the
 * outcome before it stores anything else.
 *
 * Checked: a position that has a result keeps it, and no item is at two
 * positions.
 *
 * Guards that can be removed: NO_ABSENT (a transaction has no condition that
 * its position is empty) and NO_SETTLE (a lost reply is treated as a refusal,
 * and the next transaction uses the same position). Each of them alone is
 * sufficient for the two properties, so only the run without both is refuted.
 * The condition on the fence row keeps out the results of a previous
 * coordinator; for positions it is not a separate guard.
 */

#define PROCS 2
#define ITEMS 3
#define EMPTY 0

/* The store: fence row, and the item at each position, numbered from 1. */
byte fence = 0;
byte itemAt[ITEMS];

/* The transaction that each coordinator has sent and waits for. */
bool pending[PROCS];
byte pendingFence[PROCS];
byte pendingPosition[PROCS];
byte pendingItem[PROCS];

/* A transaction whose reply was lost and that may still take effect. */
bool delayed[PROCS];
byte delayedFence[PROCS];
byte delayedPosition[PROCS];
byte delayedItem[PROCS];

inline apply(expectedFence, position, item, applied) {
	applied = false;
	if
#ifdef NO_ABSENT
	:: expectedFence == fence ->
#else
	:: expectedFence == fence && itemAt[position] == EMPTY ->
#endif
		assert(itemAt[position] == EMPTY || itemAt[position] == item);
		byte other;
		for (other : 0 .. ITEMS - 1) {
			assert(other == position || itemAt[other] != item)
		}
		itemAt[position] = item;
		applied = true
	:: else -> skip
	fi
}

proctype Coordinator(byte me) {
	byte heldFence = 0;       /* fencing number of the held lease, 0 for none */
	byte nextPosition = 0;    /* position of the next result */
	bool knownListed[ITEMS];  /* items that the coordinator knows to be stored */
	byte i;
	bool applied;
	do
	/* Takes the lease and reads the positions. */
	:: atomic { fence < 3 && !pending[me] ->
		fence++;
		heldFence = fence;
		nextPosition = 0;
		for (i : 0 .. ITEMS - 1) { knownListed[i] = false }
		for (i : 0 .. ITEMS - 1) {
			if
			:: itemAt[i] != EMPTY -> knownListed[itemAt[i] - 1] = true; nextPosition = i + 1
			:: else -> skip
			fi
		}
	   }
	/* Sends a result that is not stored yet. */
	:: atomic { heldFence != 0 && !pending[me] && nextPosition < ITEMS ->
		i = 0;
		do
		:: i < ITEMS && knownListed[i] -> i++
		:: i < ITEMS - 1 && !knownListed[i] -> i++
		:: i < ITEMS && !knownListed[i] -> break
		:: else -> break
		od;
		if
		:: i < ITEMS && !knownListed[i] ->
			pending[me] = true;
			pendingFence[me] = heldFence;
			pendingPosition[me] = nextPosition;
			pendingItem[me] = i + 1
		:: else -> skip
		fi
	   }
	/* The transaction takes effect or is refused, and the reply arrives. */
	:: atomic { pending[me] ->
		apply(pendingFence[me], pendingPosition[me], pendingItem[me], applied);
		pending[me] = false;
		if
		:: applied -> knownListed[pendingItem[me] - 1] = true; nextPosition = pendingPosition[me] + 1
		:: else -> heldFence = 0
		fi
	   }
	/* The reply is lost, after the effect or before it. */
	:: atomic { pending[me] && !delayed[me] ->
		if
		:: apply(pendingFence[me], pendingPosition[me], pendingItem[me], applied)
		:: delayed[me] = true;
		   delayedFence[me] = pendingFence[me];
		   delayedPosition[me] = pendingPosition[me];
		   delayedItem[me] = pendingItem[me]
		fi;
#ifdef NO_SETTLE
		pending[me] = false
#else
		/* Read the position. If it has this item, the transaction took effect. If it
		 * is empty, the same transaction is sent again. Otherwise another one was first. */
		if
		:: itemAt[pendingPosition[me]] == pendingItem[me] ->
			pending[me] = false;
			knownListed[pendingItem[me] - 1] = true;
			nextPosition = pendingPosition[me] + 1
		:: itemAt[pendingPosition[me]] == EMPTY -> skip
		:: else -> pending[me] = false; heldFence = 0
		fi
#endif
	   }
	/* A delayed transaction arrives. */
	:: atomic { delayed[me] ->
		delayed[me] = false;
		apply(delayedFence[me], delayedPosition[me], delayedItem[me], applied)
	   }
	:: break
	od
}

init {
	atomic { run Coordinator(0); run Coordinator(1) }
}
