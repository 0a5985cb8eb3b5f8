/*
 * At-most-once execution by claims: several callers send the same request with one
 * idempotency key, each through a different instance, and at most one of them may
 * run it.
 *
 * Every sender creates a claim with its own nonce (package transport/claim). The store
 * applies messages in any order and with any delay, responses may be lost, and an
 * instance may be killed between claim and dispatch.
 *
 * NO_CAS: the store overwrites an existing claim.
 * OPEN_DISPATCHES: a claim whose response was lost counts as created.
 * RETRACT_ANY: the existing claim is retracted, whoever created it.
 * RETRACT_UNKNOWN: a claim is retracted although its request may have run.
 * TAKE_OVER: a claim whose creator does not respond is taken over.
 */
// variant: NO_CAS
// variant: OPEN_DISPATCHES
// variant: RETRACT_ANY
// variant: RETRACT_UNKNOWN
// variant: TAKE_OVER

#define SENDERS 3
#define NO_CLAIM 0 /* nonces are 1 to SENDERS */

mtype = { ok, conflict }

byte claim = NO_CLAIM; /* nonce of the claim stored under the key */
byte runs = 0;       /* how often a backend server ran the request */

/* Messages in flight to the store, by sender. They may be reordered. */
bool creating[SENDERS + 1];
bool removing[SENDERS + 1];
chan answer[SENDERS + 1] = [1] of { mtype };

inline applyCreate(sender)
{
	creating[sender] = false;
#ifdef NO_CAS
	claim = sender;
	answer[sender]!ok
#else
	if
	:: claim == NO_CLAIM -> claim = sender; answer[sender]!ok
	:: else -> answer[sender]!conflict
	fi
#endif
}

inline applyRemove(sender)
{
	removing[sender] = false;
#ifdef RETRACT_ANY
	claim = NO_CLAIM
#else
	if
	:: claim == sender -> claim = NO_CLAIM
	:: else
	fi
#endif
}

/*
 * The platform's key-value service: create or compare-and-swap, in any order and with
 * any delay.
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

/* One request: LocalDispatcher.operate in transport/dispatch with claim.Claimer and claim.Handle. */
proctype Sender(byte me)
{
	bool dispatched = false;
	bool notRun = false; /* the caller gets run state not_run */
	mtype got;

	creating[me] = true; /* Claimer.create: the claim is sent to the store */
	if
	:: answer[me]?got ->
		if
		:: got == ok -> goto claimed
		:: got == conflict ->
			if
			:: claim == me -> goto claimed /* platform.Client.resolveConflict: reads back its own nonce */
			:: claim != me -> goto refused /* Claimer.duplicateRefusal */
			fi
		fi
	:: skip -> /* the response is lost, or arrives after claim.claimTimeout */
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
	:: /* the backend server runs it; its response may be lost: run state ran or unknown */
		dispatched = true;
		runs++;
		assert(runs <= 1);
#ifdef RETRACT_UNKNOWN
		removing[me] = true;
#endif
		goto done
	:: /* the backend server was not reached: run state not_run, Handle.Finish retracts the claim */
		notRun = true;
		removing[me] = true;
		goto done
	fi;

settle: /* Claimer.retract in the background: read, remove the sender's own claim, read again */
	do
	:: claim == me -> removing[me] = true
	:: goto done
#ifdef RETRACT_ANY
	:: claim != NO_CLAIM -> removing[me] = true
#endif
	od;

done:
	assert(!(notRun && dispatched))
}

init {
	atomic {
		run Sender(1);
		run Sender(2);
		run Sender(3)
	}
}
