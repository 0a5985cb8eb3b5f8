/*
 * Quota parts over a set of instances that only grows (coordination/quotashare).
 * Instances join by writing their name into the store and reading all names, learn
 * of each other in any order, restart and forget. The parts of those that mint must
 * be at most the whole: the set by which each of them divides has all of them, and no part
 * grows with the set (coordination/quotashare: TestPartsNeverGrowWithTheSet).
 *
 * A set counts as whole when it was read from the store, or when a peer whose set is
 * whole and has the own name tells it: so an instance that restarts while the store is
 * away mints. A peer may not have heard yet of a newcomer whom the restarted instance had
 * counted. So a newcomer needs more than that each other one once went by a set with its
 * name: all have to name the same lifetimes of all. Each says so after it heard the others,
 * so there was a moment at which all of them counted the newcomer in those lifetimes, and
 * every set that is told later has it.
 *
 * Not in the model: loans, rates, time.
 */

// it is enough that each other one has once gone by the same set, whether or not it has
// restarted since:
// variant: ONE_ROUND
// a set that a peer has heard in part passes for the whole, too:
// variant: PARTIAL_IS_COMPLETE
// an instance mints without the word of the others:
// variant: NO_ACKS
// any peer that was heard counts as one that has counted this instance:
// variant: HEARD_IS_ACK
// that an instance has minted is written when it joins:
// variant: MINTED_AT_JOIN

#ifdef PARTIAL_IS_COMPLETE /* takes one more, that has never reached the store */
#define INSTANCES 4
#else
#define INSTANCES 3
#endif
#define RESTARTS 2
#define OUTSIDER 3 /* only ever hears of others */

#define bit(i) (1 << (i))

/* The store. */
byte names;  /* instances that wrote their name */
byte minted; /* those of which it says that they have minted once */

/* The instances, which forget all of this when they restart. */
byte holders[4];    /* the set that it goes by */
byte life[4];       /* its lifetime, which it does not forget */
byte acks[INSTANCES];       /* those that it heard to go by the same set */
byte seen[16];      /* 4 * n + i: the lifetime in which i did so, as n heard it */
byte agreed[INSTANCES];     /* those that named the same lifetimes of all */
bool written[INSTANCES];    /* its name, in this life */
bool complete[INSTANCES];
bool established[INSTANCES];
bool mints[4]; /* the last one stays false where there are three */

byte restarts;
byte i, j; /* of the present step */

#define knows(n) (holders[n] & bit(n))
#define all(n) (holders[n] & ~bit(n))

/* each of n and p has heard all, itself included, in the same lifetimes */
#define of(n, i) (i == n -> life[n] + 1 : seen[4 * n + i])
#define heardAll(n) ((all(n) & ~acks[n]) == 0)
#define same(n, p) (heardAll(n) && heardAll(p) && holders[n] == holders[p] && of(n, 0) == of(p, 0) \
	&& of(n, 1) == of(p, 1) && of(n, 2) == of(p, 2) && of(n, 3) == of(p, 3))

inline forgetAcks(n) {
	acks[n] = 0; agreed[n] = 0;
	seen[4 * n] = 0; seen[4 * n + 1] = 0; seen[4 * n + 2] = 0; seen[4 * n + 3] = 0
}

inline goBy(n, set) {
	if
	:: ((set) & ~holders[n]) != 0 -> holders[n] = holders[n] | (set); forgetAcks(n)
	:: else
	fi
}

inline read(n) {
	if
	:: minted & bit(n) -> established[n] = true
	:: else
	fi;
	goBy(n, names);
	complete[n] = (holders[n] & bit(n)) != 0
}

inline exchange(n, peer) {
	if
	:: (holders[peer] & bit(n)) != 0 && (complete[n]
#ifdef PARTIAL_IS_COMPLETE
	   || true
#endif
	   || complete[peer]
	   ) -> goBy(n, holders[peer]); complete[n] = true
	:: else -> goBy(n, holders[peer])
	fi;
	if
#ifdef HEARD_IS_ACK
	:: knows(n) && (holders[n] & bit(peer)) ->
#else
	:: knows(n) && holders[n] == holders[peer] ->
#endif
		if
		:: seen[4 * n + peer] != life[peer] + 1 -> agreed[n] = 0
		:: else
		fi;
		acks[n] = acks[n] | bit(peer);
		seen[4 * n + peer] = life[peer] + 1;
		if
		:: same(n, peer) -> agreed[n] = agreed[n] | bit(peer)
		:: else -> agreed[n] = agreed[n] & ~bit(peer)
		fi
	:: else
	fi
}

#ifdef NO_ACKS
#define counted(n) true
#else
#if defined(ONE_ROUND) || defined(HEARD_IS_ACK)
#define counted(n) heardAll(n)
#else
#define counted(n) ((all(n) & ~agreed[n]) == 0)
#endif
#endif

#define minting (mints[0] + 2 * mints[1] + 4 * mints[2] + 8 * mints[3])
#define within(n) (!mints[n] || (minting & ~holders[n]) == 0)

active proctype world() {
	do
	:: atomic {
		select(i : 0 .. INSTANCES - 1);
		if
		/* join: write the own name, then read all */
		:: i != OUTSIDER && !written[i] ->
			names = names | bit(i);
#ifdef MINTED_AT_JOIN
			minted = minted | bit(i);
#endif
			written[i] = true
		:: written[i] && !complete[i] -> read(i)
		/* hear from a peer */
		:: select(j : 0 .. INSTANCES - 1);
			if
			:: i != j -> exchange(i, j)
			:: else
			fi
		/* begin to mint */
		:: !mints[i] && complete[i] && (holders[i] & bit(i)) && (established[i] || counted(i)) ->
			mints[i] = true;
			established[i] = true
		/* the store learns of it, or the write is lost and this step never comes */
		:: mints[i] && !(minted & bit(i)) -> minted = minted | bit(i)
		/* restart, anywhere in the above */
		:: i != OUTSIDER && restarts < RESTARTS ->
			restarts++;
			holders[i] = 0; forgetAcks(i); life[i]++;
			written[i] = false; complete[i] = false; established[i] = false; mints[i] = false
		:: else
		fi;
		i = 0; j = 0;
		assert(within(0) && within(1) && within(2) && within(3))
	}
	od
}
