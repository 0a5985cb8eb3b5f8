/*
 * Removal of instances from the set over which a quota is divided (coordination/quotashare,
 * instance/routed). It extends quotashare.pml, which has more restarts and no removal.
 *
 * What is known of an instance is a level that only rises: 0 unknown, odd in the set, even
 * and above 0 removed. The store has a level for each, and instances merge what they learn
 * by the maximum. An instance mints only while its proof lasts that its item stands. Another
 * marks the item as doubted and removes it once the proof has ended that the instance may
 * have had at that time, unless the instance has written its item since. A proof is
 * renewed only by a read that finds no doubt, or by a write.
 *
 * The set by which a minting instance divides must contain all that mint. When nothing more
 * happens, every instance that runs must mint, also if another one is gone for good.
 *
 * It begins with two instances that mint; quotashare.pml has their joining.
 *
 * Not in the model: loans, rates, the length of times, a store that is restored.
 */

// instances that are gone stay in the set:
// variant: NEVER_REMOVED
// an instance is removed as soon as it is doubted:
// variant: NO_WAIT
// a read renews the proof although the item is doubted:
// variant: PROOF_IN_DOUBT
// an instance mints after its proof has ended:
// variant: NO_PROOF
// the record that an instance has minted outlives its removal:
// variant: RECORD_STAYS

#define INSTANCES 3
#define TROUBLES 2 /* restarts, cuts and losses */

#define bit(i) (1 << (i))
#define in(level) ((level) & 1)

/* The store. */
byte item[INSTANCES];
byte minted;  /* instances recorded as having minted */
byte doubted;
byte waited;  /* doubted ones whose proof of that time has ended */

/* The instances, which lose this state when they restart, except for the incarnation. */
byte know[9];       /* 3 * n + i: what n knows of i */
byte seen[9];       /* 3 * n + i: incarnation of i + 1 that reported the set of n */
byte agreed[INSTANCES];
byte incarnation[INSTANCES];
bool written[INSTANCES]; /* its item, in this incarnation */
bool joined[INSTANCES];  /* it has read all items after that */
bool complete[INSTANCES];
bool established[INSTANCES];
bool proof[INSTANCES];
bool cut[INSTANCES];  /* from the store */
bool gone[INSTANCES]; /* for good */

byte troubles;
byte k, before; /* of the current step */

#define own(n) know[3 * n + n]
#define sameSet(n, p) (in(know[3*n]) == in(know[3*p]) && in(know[3*n+1]) == in(know[3*p+1]) && in(know[3*n+2]) == in(know[3*p+2]) \
	&& (!in(know[3*n]) || know[3*n] == know[3*p]) && (!in(know[3*n+1]) || know[3*n+1] == know[3*p+1]) && (!in(know[3*n+2]) || know[3*n+2] == know[3*p+2]))
#define seenOf(n, x) (n == x -> incarnation[n] + 1 : seen[3 * n + x])
#define reported(n, x) (!in(know[3*n+x]) || seenOf(n, x) != 0)
#define allReported(n) (reported(n, 0) && reported(n, 1) && reported(n, 2))
#define sameSeen(n, p, x) (!in(know[3*n+x]) || seenOf(n, x) == seenOf(p, x))
#define agree(n, p) (sameSet(n, p) && allReported(n) && allReported(p) && sameSeen(n, p, 0) && sameSeen(n, p, 1) && sameSeen(n, p, 2))
#define others(n) ((in(know[3*n]) | in(know[3*n+1]) << 1 | in(know[3*n+2]) << 2) & ~bit(n))

#ifdef NO_PROOF
#define proved(n) true
#else
#define proved(n) proof[n]
#endif
#define mints(n) (!gone[n] && proved(n) && complete[n] && established[n] && in(own(n)))
#define covers(n, m) (!mints(n) || !mints(m) || in(know[3 * n + m]))

inline forgetReports(n) { seen[3*n] = 0; seen[3*n+1] = 0; seen[3*n+2] = 0; agreed[n] = 0 }

/* learn merges a level of x into the knowledge of n. */
inline learn(n, x, level) {
	if
	:: (level) > know[3 * n + x] ->
		before = know[3 * n + x];
		know[3 * n + x] = level;
		if
		:: in(before) || in(level) -> forgetReports(n)
		:: else
		fi;
		if
		:: x == n && before != 0 -> complete[n] = false; established[n] = false; written[n] = false; joined[n] = false; proof[n] = false
		:: else
		fi
	:: else
	fi
}

/* write is a write of the item of n by n itself: it ends a removal in progress. */
inline write(n) { doubted = doubted & ~bit(n); waited = waited & ~bit(n) }

inline join(n) {
	before = (own(n) > item[n] -> own(n) : item[n]);
	if
	:: !in(before) -> item[n] = before + 1; write(n)
	:: else -> item[n] = before; if :: doubted & bit(n) -> write(n) :: else fi
	fi;
	written[n] = true
}

inline readAll(n) {
	for (k : 0 .. INSTANCES - 1) { learn(n, k, item[k]) }
	if
	:: own(n) == item[n] && in(item[n]) && !(doubted & bit(n)) ->
		complete[n] = true;
		proof[n] = true;
		written[n] = true;
		joined[n] = true;
		if
		:: minted & bit(n) -> established[n] = true
		:: else
		fi
	:: else -> written[n] = false
	fi
}

#define differs(n, p) (know[3*n] < know[3*p] || know[3*n+1] < know[3*p+1] || know[3*n+2] < know[3*p+2])

/* exchange lets n receive the set and the report of p. */
inline exchange(n, p) {
	for (k : 0 .. INSTANCES - 1) { learn(n, k, know[3 * p + k]) }
	if
	:: complete[p] && proved(p) && in(know[3 * p + n]) && in(own(n)) -> complete[n] = true
	:: else
	fi;
	if
	:: in(own(n)) && sameSet(n, p) ->
		if
		:: seen[3 * n + p] != incarnation[p] + 1 -> agreed[n] = 0; seen[3 * n + p] = incarnation[p] + 1
		:: else
		fi;
		if
		:: agree(n, p) -> agreed[n] = agreed[n] | bit(p)
		:: else -> agreed[n] = agreed[n] & ~bit(p)
		fi
	:: else
	fi;
	k = 0
}

#define news(n, p) (differs(n, p) || complete[p] && proved(p) && in(know[3*p+n]) && in(own(n)) && !complete[n] \
	|| in(own(n)) && sameSet(n, p) && (seen[3*n+p] != incarnation[p] + 1 || (agree(n, p) != ((agreed[n] & bit(p)) != 0))))

#define unlearnt(n, x) (know[3*n+x] < item[x] && !in(item[x]))
#define check() assert(covers(0, 1) && covers(1, 0) && covers(0, 2) && covers(2, 0) && covers(1, 2) && covers(2, 1)); before = 0; k = 0

inline renew(n) {
	proof[n] = true;
#ifndef PROOF_IN_DOUBT
	write(n);
#endif
	skip
}

/* The steps of one instance, and of others that act on its item. */
proctype instance(byte me) {
end:
	do
	:: atomic { !gone[me] && !cut[me] && !written[me] -> join(me); check() }
	:: atomic { !gone[me] && !cut[me] && written[me] && !joined[me] -> readAll(me); check() }
	/* the proof is renewed, by a write if the item is doubted */
	:: atomic { !gone[me] && !cut[me] && joined[me] && own(me) == item[me] && !proof[me] -> renew(me); check() }
#ifndef PROOF_IN_DOUBT
	:: atomic { !gone[me] && !cut[me] && joined[me] && own(me) == item[me] && proof[me] && (doubted & bit(me)) -> write(me); check() }
#endif
	/* a report of a peer arrives */
	:: atomic { !gone[me] && !gone[(me + 1) % 3] && news(me, ((me + 1) % 3)) -> exchange(me, ((me + 1) % 3)); check() }
	:: atomic { !gone[me] && !gone[(me + 2) % 3] && news(me, ((me + 2) % 3)) -> exchange(me, ((me + 2) % 3)); check() }
	:: atomic { !gone[me] && complete[me] && !established[me] && in(own(me)) && (others(me) & ~agreed[me]) == 0 ->
		established[me] = true; check() }
	:: atomic { mints(me) && !cut[me] && !(minted & bit(me)) && own(me) == item[me] -> minted = minted | bit(me); write(me); check() }
#ifndef NEVER_REMOVED
	/* another instance removes it */
	:: atomic { (gone[me] || cut[me]) && in(item[me]) && !(doubted & bit(me)) -> doubted = doubted | bit(me) }
#ifdef NO_WAIT
	:: atomic { (doubted & bit(me)) && !(waited & bit(me)) -> waited = waited | bit(me) }
#else
	:: atomic { (doubted & bit(me)) && !proof[me] && !(waited & bit(me)) -> waited = waited | bit(me) }
#endif
	:: atomic { (doubted & waited & bit(me)) != 0 ->
		item[me]++;
		write(me);
#ifndef RECORD_STAYS
		minted = minted & ~bit(me);
#endif
		check() }
	/* it reads that an instance was removed */
	:: atomic { !gone[me] && !cut[me] && joined[me] && (unlearnt(me, 0) || unlearnt(me, 1) || unlearnt(me, 2)) ->
		if :: unlearnt(me, 0) -> learn(me, 0, item[0]) :: else fi;
		if :: unlearnt(me, 1) -> learn(me, 1, item[1]) :: else fi;
		if :: unlearnt(me, 2) -> learn(me, 2, item[2]) :: else fi;
		check() }
#endif
	/* cut from the store, and back */
	:: atomic { !gone[me] && troubles < TROUBLES -> troubles++; cut[me] = true }
	:: atomic { cut[me] && proof[me] -> proof[me] = false }
	:: atomic { cut[me] -> cut[me] = false }
	/* restarted, and lost for good */
	:: atomic { !gone[me] && troubles < TROUBLES ->
		troubles++;
		know[3*me] = 0; know[3*me+1] = 0; know[3*me+2] = 0; forgetReports(me); incarnation[me]++;
		written[me] = false; joined[me] = false; complete[me] = false; established[me] = false; proof[me] = false }
	:: atomic { !gone[me] && troubles < TROUBLES -> troubles++; gone[me] = true; proof[me] = false; cut[me] = false }
	od
}

/* Once nothing more happens, all that run mint. */
proctype settled() {
end:
	timeout -> assert((gone[0] || mints(0)) && (gone[1] || mints(1)) && (gone[2] || mints(2)))
}

/* Two instances mint when the third one joins. */
inline minting(n, p) {
	item[n] = 1; minted = minted | bit(n);
	know[3*n+n] = 1; know[3*n+p] = 1; seen[3*n+p] = 1; agreed[n] = bit(p);
	written[n] = true; joined[n] = true; complete[n] = true; established[n] = true; proof[n] = true
}

init {
	atomic {
		minting(0, 1);
		minting(1, 0);
		run instance(0);
		run instance(1);
		run instance(2);
		run settled()
	}
}
