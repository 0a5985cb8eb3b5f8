/*
 * Shares of a quota over a set of instances that only grows (coordination/quotashare).
 * Instances join by writing their name to the store and reading all names, get each
 * other's reports in any order, restart and lose their memory. The shares of the minting
 * instances must sum up to at most the quota: this holds if the set by which each of them
 * divides contains all of them, since no share grows with the set (coordination/quotashare:
 * TestPartsNeverGrowWithTheSet).
 *
 * A set is complete if it was read from the store, or was received from a peer whose set
 * is complete and contains the instance's own name. This lets an instance that restarts
 * while the store is unreachable mint. Such a peer may not know yet a joining instance
 * which the restarted instance had counted. So it is not enough for a joining instance
 * that each other instance once used a set with its name: all have to report the same
 * incarnations of all. Each reports them after it received the others' reports, so at
 * some instant all of them counted the joining instance in those incarnations, and every
 * set that is sent later contains it.
 *
 * Not in the model: loans, rates, time.
 */

// it is enough that each other instance has once used the same set, even if it has
// restarted since:
// variant: ONE_ROUND
// an incomplete set of a peer also counts as complete:
// variant: PARTIAL_IS_COMPLETE
// an instance mints without the reports of the others:
// variant: NO_ACKS
// any peer that sent a report counts as having counted this instance:
// variant: HEARD_IS_ACK
// the record that an instance has minted is written when it joins:
// variant: MINTED_AT_JOIN

#ifdef PARTIAL_IS_COMPLETE /* needs one more instance, which never reached the store */
#define INSTANCES 4
#else
#define INSTANCES 3
#endif
#define RESTARTS 2
#define OUTSIDER 3 /* only receives reports */

#define bit(i) (1 << (i))

/* The store. */
byte names;  /* instances that wrote their name */
byte minted; /* instances recorded as having minted */

/* The instances, which lose this state when they restart, except for the incarnation. */
byte holders[4];    /* the set by which it divides */
byte incarnation[4]; /* number of its incarnation, which survives restarts */
byte acks[INSTANCES];       /* peers that reported the same set */
byte seen[16];      /* 4 * n + i: the incarnation in which i did so, as n received it */
byte agreed[INSTANCES];     /* peers that reported the same incarnations of all */
bool written[INSTANCES];    /* its name was written in this incarnation */
bool complete[INSTANCES];
bool established[INSTANCES];
bool mints[4]; /* with three instances the last one stays false */

byte restarts;
byte i, j; /* instances of the current step */

#define knows(n) (holders[n] & bit(n))
#define all(n) (holders[n] & ~bit(n))

/* n and p have reports of all instances, including themselves, of the same incarnations */
#define seenIncarnation(n, i) (i == n -> incarnation[n] + 1 : seen[4 * n + i])
#define hasAllReports(n) ((all(n) & ~acks[n]) == 0)
#define same(n, p) (hasAllReports(n) && hasAllReports(p) && holders[n] == holders[p] && seenIncarnation(n, 0) == seenIncarnation(p, 0) \
	&& seenIncarnation(n, 1) == seenIncarnation(p, 1) && seenIncarnation(n, 2) == seenIncarnation(p, 2) && seenIncarnation(n, 3) == seenIncarnation(p, 3))

inline forgetAcks(n) {
	acks[n] = 0; agreed[n] = 0;
	seen[4 * n] = 0; seen[4 * n + 1] = 0; seen[4 * n + 2] = 0; seen[4 * n + 3] = 0
}

inline useSet(n, set) {
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
	useSet(n, names);
	complete[n] = (holders[n] & bit(n)) != 0
}

inline exchange(n, peer) {
	if
	:: (holders[peer] & bit(n)) != 0 && (complete[n]
#ifdef PARTIAL_IS_COMPLETE
	   || true
#endif
	   || complete[peer]
	   ) -> useSet(n, holders[peer]); complete[n] = true
	:: else -> useSet(n, holders[peer])
	fi;
	if
#ifdef HEARD_IS_ACK
	:: knows(n) && (holders[n] & bit(peer)) ->
#else
	:: knows(n) && holders[n] == holders[peer] ->
#endif
		if
		:: seen[4 * n + peer] != incarnation[peer] + 1 -> agreed[n] = 0
		:: else
		fi;
		acks[n] = acks[n] | bit(peer);
		seen[4 * n + peer] = incarnation[peer] + 1;
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
#define counted(n) hasAllReports(n)
#else
#define counted(n) ((all(n) & ~agreed[n]) == 0)
#endif
#endif

#define minting (mints[0] + 2 * mints[1] + 4 * mints[2] + 8 * mints[3])
#define setCoversMinting(n) (!mints[n] || (minting & ~holders[n]) == 0)

active proctype world() {
	do
	:: atomic {
		select(i : 0 .. INSTANCES - 1);
		if
		/* join: write the instance's own name, then read all names */
		:: i != OUTSIDER && !written[i] ->
			names = names | bit(i);
#ifdef MINTED_AT_JOIN
			minted = minted | bit(i);
#endif
			written[i] = true
		:: written[i] && !complete[i] -> read(i)
		/* receive a report from a peer */
		:: select(j : 0 .. INSTANCES - 1);
			if
			:: i != j -> exchange(i, j)
			:: else
			fi
		/* start to mint */
		:: !mints[i] && complete[i] && (holders[i] & bit(i)) && (established[i] || counted(i)) ->
			mints[i] = true;
			established[i] = true
		/* the store records it; if the write is lost, this step never happens */
		:: mints[i] && !(minted & bit(i)) -> minted = minted | bit(i)
		/* restart at any point of the above */
		:: i != OUTSIDER && restarts < RESTARTS ->
			restarts++;
			holders[i] = 0; forgetAcks(i); incarnation[i]++;
			written[i] = false; complete[i] = false; established[i] = false; mints[i] = false
		:: else
		fi;
		i = 0; j = 0;
		assert(setCoversMinting(0) && setCoversMinting(1) && setCoversMinting(2) && setCoversMinting(3))
	}
	od
}
