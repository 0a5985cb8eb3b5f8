/*
 * Quota parts over a set of instances that only grows (coordination/quotashare).
 * Instances join by writing their name into the store and reading all names, learn
 * of each other in any order, restart and forget. The parts of those that mint must
 * be at most the whole: none of them divides by fewer than there are.
 *
 * The plain model is the rule that holds: an instance takes a set for whole only when it
 * has read it from the store itself. The code also takes a peer's word for it (PEER_SET),
 * so that an instance which restarts while the store is away mints; what that breaks is
 * TestRestartedInstanceForgetsWhomItCounted, in KNOWN-RED.txt. What is to replace it has
 * to let the model hold without making every restart wait for the store.
 *
 * Not in the model: loans, rates, time.
 */

// a peer's whole set counts as read, although a restarted instance may have counted one
// that the peer has not heard of, and has forgotten it:
// variant: PEER_SET
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

#define bit(i) (1 << (i))

/* The store. */
byte names;  /* instances that wrote their name */
byte minted; /* those of which it says that they have minted once */

/* The instances, which forget all of this when they restart. */
byte holders[4];    /* the set that it goes by */
short went[INSTANCES];      /* one bit for each set with its own name that it went by */
byte acks[INSTANCES];       /* those that go by such a set */
bool written[INSTANCES];    /* its name, in this life */
bool complete[INSTANCES];
bool established[INSTANCES];
bool mints[4]; /* the last one stays false where there are three */

byte restarts;
byte i, j; /* of the present step */

inline goBy(n, set) {
	holders[n] = holders[n] | (set);
	if
	:: holders[n] & bit(n) -> went[n] = went[n] | (1 << holders[n])
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
#ifdef PEER_SET
	   || complete[peer]
#endif
	   ) -> goBy(n, holders[peer]); complete[n] = true
	:: else -> goBy(n, holders[peer])
	fi;
#ifdef HEARD_IS_ACK
	acks[n] = acks[n] | bit(peer)
#else
	if
	:: (went[n] & (1 << holders[peer])) != 0 -> acks[n] = acks[n] | bit(peer)
	:: else
	fi
#endif
}

#ifdef NO_ACKS
#define counted(n) true
#else
#define counted(n) ((holders[n] & ~(acks[n] | bit(n))) == 0)
#endif

#define size(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define minting (mints[0] + mints[1] + mints[2] + mints[3])
#define within(n) (!mints[n] || size(holders[n]) >= minting)

active proctype world() {
	do
	:: atomic {
		select(i : 0 .. INSTANCES - 1);
		if
		/* join: write the own name, then read all */
		:: !written[i] ->
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
		:: restarts < RESTARTS ->
			restarts++;
			holders[i] = 0; went[i] = 0; acks[i] = 0;
			written[i] = false; complete[i] = false; established[i] = false; mints[i] = false
		:: else
		fi;
		i = 0; j = 0;
		assert(within(0) && within(1) && within(2) && within(3))
	}
	od
}
