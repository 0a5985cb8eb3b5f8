/*
 * Claims for at most once: comers send the same request under one idempotency
 * key, each through an instance, and at most one of them may run it.
 *
 * Every comer makes a claim of its own nonce (package transport/claim, Claim).
 * The store applies messages in any order and as late as it likes, answers may
 * be lost, and an instance may be killed between claim and dispatch.
 *
 * NO_CAS: the store writes a claim over another.
 * OPEN_DISPATCHES: a claim whose answer was lost counts as made.
 * RETRACT_ANY: what stands is retracted, whoever made it.
 * RETRACT_UNKNOWN: a claim is retracted although its request may have run.
 * TAKE_OVER: a claim whose maker does not answer is taken over.
 */
// variant: NO_CAS
// variant: OPEN_DISPATCHES
// variant: RETRACT_ANY
// variant: RETRACT_UNKNOWN
// variant: TAKE_OVER

#define COMERS 3
#define NOBODY 0 /* nonces are 1 to COMERS */

mtype = { ok, conflict }

byte claim = NOBODY; /* nonce of the claim that stands under the key */
byte runs = 0;       /* how often a backend server ran the request */

/* Messages on their way to the store, by sender. They overtake each other. */
bool creating[COMERS + 1];
bool removing[COMERS + 1];
chan answer[COMERS + 1] = [1] of { mtype };

inline applyCreate(sender)
{
	creating[sender] = false;
#ifdef NO_CAS
	claim = sender;
	answer[sender]!ok
#else
	if
	:: claim == NOBODY -> claim = sender; answer[sender]!ok
	:: else -> answer[sender]!conflict
	fi
#endif
}

inline applyRemove(sender)
{
	removing[sender] = false;
#ifdef RETRACT_ANY
	claim = NOBODY
#else
	if
	:: claim == sender -> claim = NOBODY
	:: else
	fi
#endif
}

/*
 * The platform's key-value service: create-or-compare-and-swap, in any order and
 * as late as it likes.
 */
active proctype Store()
{
end:
	do
	:: atomic { creating[1] -> applyCreate(1) }
	:: atomic { creating[2] -> applyCreate(2) }
	:: atomic { creating[3] -> applyCreate(3) }
	:: atomic { removing[1] -> applyRemove(1) }
	:: atomic { removing[2] -> applyRemove(2) }
	:: atomic { removing[3] -> applyRemove(3) }
	od
}

/* One request: transport/dispatch operate, with claim.Claimer and claim.Held. */
proctype Comer(byte me)
{
	bool dispatched = false;
	bool notRun = false; /* what the caller is told */
	mtype got;

	creating[me] = true; /* Claimer.create */
	if
	:: answer[me]?got ->
		if
		:: got == ok -> goto claimed
		:: got == conflict ->
			if
			:: claim == me -> goto claimed /* platform.Client.settle: its own nonce stands */
			:: claim != me -> goto refused /* Claimer.standing */
			fi
		fi
	:: skip -> /* the answer is lost, or later than claimTimeout */
#ifdef OPEN_DISPATCHES
		goto claimed
#else
		notRun = true;
		goto settle
#endif
	fi;

refused:
#ifdef TAKE_OVER
	if
	:: claim = me; goto claimed
	:: goto done
	fi;
#else
	goto done;
#endif

claimed:
	if
	:: goto done /* the instance is killed between claim and dispatch */
	:: skip
	fi;
	if
	:: /* the backend server runs it; its answer may be lost: run state ran or unknown */
		dispatched = true;
		runs++;
		assert(runs <= 1);
#ifdef RETRACT_UNKNOWN
		removing[me] = true;
#endif
		goto done
	:: /* the backend server was not reached: run state not_run, Held.Ended */
		notRun = true;
		removing[me] = true;
		goto done
	fi;

settle: /* Claimer.retract: look, remove what is its own, look again */
	do
	:: claim == me -> removing[me] = true
	:: goto done
#ifdef RETRACT_ANY
	:: claim != NOBODY -> removing[me] = true
#endif
	od;

done:
	assert(!(notRun && dispatched))
}

init {
	atomic {
		run Comer(1);
		run Comer(2);
		run Comer(3)
	}
}
