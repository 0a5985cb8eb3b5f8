/*
 * Configuration never reverts. The model has a store with compare-and-swap, operators
 * who write to it, two instances that watch it and exchange documents with each other,
 * lost responses, and a store that is restored from a snapshot and assigns the same
 * revisions again.
 *
 * A write is identified by its nonce, which sorts after the nonce of the write that it
 * replaces (newNonce in transport/platform). A position in the store is a rank: the store's
 * generation, then its revision (configwatch.Rank, Generations.Rank).
 */

// documents are ordered by rank instead of nonce:
// variant: RANK_ORDER
// the store's document is always accepted:
// variant: OBEY_STORE
// documents that a restored store lost are not written back:
// variant: NO_WRITEBACK
// a document that is written back gets a new nonce:
// variant: NEW_NONCE
// a write whose response was lost is retried without compare-and-swap:
// variant: BLIND_RETRY
// a restored store continues in its old generation:
// variant: NO_GENERATION
// the store is never read completely again:
// variant: NO_WHOLE

#define INSTANCES 2
#define KEYS 2
#define WRITES 3
#define GENERATION 16 /* rank = generation * GENERATION + revision */

typedef Row { byte by[KEYS] };

/* The store and its snapshot. */
byte revision, generation, marker; /* marker: revision at which the generation began */
byte nonce[KEYS], at[KEYS];
byte snapRevision, snapGeneration, snapMarker, snapNonce[KEYS], snapAt[KEYS];
bool snapped, restored;

/* The instances: the write in force, its rank, the cursor and its generation. */
Row inForce[INSTANCES], rank[INSTANCES];
byte cursor[INSTANCES], seenGeneration[INSTANCES];

byte clock, writes; /* of the writers, which share one clock in this model */

/* An operator's write whose response was lost. */
bool pending; byte pendingKey, pendingNonce, pendingExpect;

/* A write-back that was decided but not sent yet. */
bool backPending; byte backKey, backNonce, backExpect;

/* Ghost variables: the content of each write, and for each key the newest write that the
 * store accepted and did not lose by a restore. clear resets accepted after a restore. */
#define NONCES 10
byte content[NONCES], accepted[KEYS];

byte k, j, r; bool lost;

inline storeRank(key) {
	if
	:: at[key] >= marker -> r = generation * GENERATION + at[key]
	:: else -> r = at[key]
	fi
}

inline write(key, n) {
	revision++; nonce[key] = n; at[key] = revision;
	if :: n > accepted[key] -> accepted[key] = n :: else fi
}

/* configwatch.DocumentSet.accept: an older write never replaces a newer one. */
inline accept(i, key, n, newRank) {
	if
#ifdef RANK_ORDER
	:: newRank > rank[i].by[key] ->
#else
#ifdef OBEY_STORE
	:: n > 0 ->
#else
	:: n >= inForce[i].by[key] ->
#endif
#endif
		assert(content[n] >= content[inForce[i].by[key]]); /* never reverts */
		inForce[i].by[key] = n;
		if :: newRank > rank[i].by[key] -> rank[i].by[key] = newRank :: else fi
	:: else
	fi
}

/* storeWatch.newestLost: compares the store's write with the newest document in force. */
inline checkRestored(i) {
	lost = false;
	j = 0;
	if :: rank[i].by[1] > rank[i].by[0] -> j = 1 :: else fi;
	storeRank(j);
	if
	:: nonce[j] < inForce[i].by[j] -> lost = true
	:: nonce[j] >= inForce[i].by[j] && r < rank[i].by[j] && rank[i].by[j] / GENERATION >= generation -> lost = true
	:: else
	fi
}

/* storeWatch.readChanges and storeWatch.applyChanges: read the changes after the cursor. */
inline take(i) {
	k = 0;
	do
	:: k < KEYS ->
		if
		:: nonce[k] > 0 && at[k] > cursor[i] -> storeRank(k); accept(i, k, nonce[k], r)
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0;
	do
	:: k < KEYS -> if :: at[k] > cursor[i] -> cursor[i] = at[k] :: else fi; k++
	:: else -> break
	od
}

/* storeWatch.setCursor: a new generation is read from the start. */
inline begin(i) {
	if
	:: seenGeneration[i] != generation -> seenGeneration[i] = generation; cursor[i] = 0
	:: else
	fi
}

/* storeWatch.repairStore: opens a generation above that of the documents in force. */
inline openGeneration(i) {
#ifndef NO_GENERATION
	k = rank[i].by[0] / GENERATION;
	if :: rank[i].by[1] / GENERATION > k -> k = rank[i].by[1] / GENERATION :: else fi;
	if
	:: generation <= k -> generation = k + 1; revision++; marker = revision
	:: else
	fi
#endif
	skip
}

/* storeWatch.writeBackOne: decides to write a document back; the write is sent later, by
 * compare-and-swap. */
inline decideBack(i, key) {
	if
	:: !backPending && nonce[key] < inForce[i].by[key] && clock < NONCES - 1 ->
		backPending = true; backKey = key; backExpect = at[key];
#ifdef NEW_NONCE
		clock++; backNonce = clock; content[clock] = content[inForce[i].by[key]]
#else
		backNonce = inForce[i].by[key]
#endif
	:: else
	fi
}

inline sendBack() {
	if
	:: at[backKey] == backExpect -> write(backKey, backNonce)
	:: else /* a conflict: another writer was first */
	fi;
	backPending = false
}

inline watch(i) {
	begin(i);
	checkRestored(i);
	if
	:: lost ->
		openGeneration(i);
#ifndef NO_WRITEBACK
		if :: true -> decideBack(i, 0) :: true -> decideBack(i, 1) fi
#endif
	:: else -> take(i)
	fi
}

/* DocumentSet.Since and DocumentSet.Differing: get the documents of a peer. */
inline exchange(i, from) {
	k = 0;
	do
	:: k < KEYS -> 
		if :: inForce[from].by[k] > 0 -> accept(i, k, inForce[from].by[k], rank[from].by[k]) :: else fi;
		k++
	:: else -> break
	od
}

/* The end: no more faults, and every instance reads the complete store periodically. */
inline writeBackBoth(i) {
#ifndef NO_WRITEBACK
	decideBack(i, 0); if :: backPending -> sendBack() :: else fi;
	decideBack(i, 1); if :: backPending -> sendBack() :: else fi
#endif
	skip
}

inline settleInstance(i) {
	begin(i);
#ifndef NO_WHOLE
	cursor[i] = 0;
#endif
	checkRestored(i);
	if :: lost -> openGeneration(i) :: else -> take(i) fi;
	writeBackBoth(i)
}

/* Clears scratch variables and values that no longer matter, to reduce the state space. */
inline clear() {
	k = 0; j = 0; r = 0; lost = false; key = 0;
	if :: !pending -> pendingKey = 0; pendingNonce = 0; pendingExpect = 0 :: else fi;
	if :: !backPending -> backKey = 0; backNonce = 0; backExpect = 0 :: else fi;
	if
	:: restored -> accepted[0] = 0; accepted[1] = 0; snapRevision = 0; snapGeneration = 0; snapMarker = 0;
		snapNonce[0] = 0; snapNonce[1] = 0; snapAt[0] = 0; snapAt[1] = 0
	:: else
	fi
}

active proctype system() {
	byte key;
	do
	/* an operator applies a document; the response arrives or is lost */
	:: atomic { writes < WRITES ->
		if :: key = 0 :: key = 1 fi;
		clock++; writes++; content[clock] = clock;
		if
		:: write(key, clock)
		:: !pending -> pendingExpect = at[key]; pending = true; pendingKey = key; pendingNonce = clock;
			if
			:: write(key, clock)
			:: true -> skip /* not arrived yet */
			fi
		fi; clear() }
	/* platform.Client.Put retries with the same nonce and resolves a conflict by reading */
	:: atomic { pending ->
#ifdef BLIND_RETRY
		write(pendingKey, pendingNonce);
#else
		if
		:: at[pendingKey] == pendingExpect && nonce[pendingKey] < pendingNonce -> write(pendingKey, pendingNonce)
		:: else
		fi;
#endif
		pending = false; clear() }
	:: atomic { true -> watch(0); clear() }
	:: atomic { true -> watch(1); clear() }
	:: atomic { exchange(0, 1); clear() }
	:: atomic { exchange(1, 0); clear() }
	:: atomic { backPending -> sendBack(); clear() }
	:: atomic { !snapped -> snapped = true;
		snapRevision = revision; snapGeneration = generation; snapMarker = marker;
		snapNonce[0] = nonce[0]; snapNonce[1] = nonce[1]; snapAt[0] = at[0]; snapAt[1] = at[1] }
	:: atomic { snapped && !restored -> restored = true;
		revision = snapRevision; generation = snapGeneration; marker = snapMarker;
		nonce[0] = snapNonce[0]; nonce[1] = snapNonce[1]; at[0] = snapAt[0]; at[1] = snapAt[1]; clear() }
	/* an instance is replaced while the other has all of its documents */
	:: atomic { inForce[1].by[0] <= inForce[0].by[0] && inForce[1].by[1] <= inForce[0].by[1] ->
		inForce[1].by[0] = 0; inForce[1].by[1] = 0; rank[1].by[0] = 0; rank[1].by[1] = 0; cursor[1] = 0; seenGeneration[1] = 0 }
	:: break
	od;
	atomic {
		pending = false; backPending = false;
		settleInstance(0); settleInstance(1); exchange(0, 1); exchange(1, 0);
		settleInstance(0); settleInstance(1); settleInstance(0); settleInstance(1); exchange(0, 1); exchange(1, 0);
		key = 0;
		do
		:: key < KEYS ->
			assert(inForce[0].by[key] == inForce[1].by[key]); /* in force on all instances */
			assert(nonce[key] == inForce[0].by[key]); /* and in the store */
			assert(restored || inForce[0].by[key] >= accepted[key]); /* no accepted write is lost */
			key++
		:: else -> break
		od
	}
}
