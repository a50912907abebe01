/*
 * Model of the staged rollout of configurations, checked exhaustively by spin.
 *
 * Two operators submit changes through two coordinators. Processes 0 and 1 run
 * from the start, process 2 joins later. Any call may fail, the reply to the
 * commit may be lost, coordinators may crash between any two steps, process 1
 * may restart, and an activation may arrive late or twice.
 *
 * The parts of the model and the code that they stand for:
 *   Coordinator        rollout.Coordinator.Submit: base check, stageEverywhere,
 *                      commit, settleCommit, confirm
 *   activate           rollout.Store.take
 *   Follower           rollout.Coordinator.Follow: a process reads the head
 *   Joiner             a new process: added to the VM list, then Refresh, then
 *                      ready
 *   Restart            the same for a process that restarts; while the table is
 *                      unavailable it asks a peer (rollout.Store.CatchUp)
 *   DelayedActivation  a delayed or repeated config.activate
 *
 * Safeguards; -DNO_<name> removes one:
 *   CONDITIONAL_WRITE  the head is written only if it is unchanged since it was read
 *   COMMIT_LOOKUP      after a lost reply the coordinator reads whether the commit
 *                      took effect before it reports an outcome
 *   CONFIRM            a change is accepted only after all listed processes confirmed it
 *   MONOTONE           a process takes only a higher version
 *   RELIST             the VM list is read again before the confirmations
 *   LIST_FIRST         a new process reads the head only after it is listed
 *   READINESS          a new process serves nothing before it has a configuration
 */

#define PROCS 3

byte head = 0;          /* committed version */
byte headChange = 0;    /* change that wrote it; 0 is the first configuration */
byte committedAs[3];    /* version that each change was committed as, or 0 */

byte inForce[PROCS];
bool listed[PROCS];
bool serving[PROCS];

bool reportedAccepted[3], reportedRefused[3];
byte acceptedVersion = 0;
bool versionDecreased = false;
bool tableUnavailable = false;

inline activate(p, v) {
#ifdef NO_MONOTONE
	if
	:: v < inForce[p] && serving[p] -> versionDecreased = true
	:: else -> skip
	fi;
	inForce[p] = v
#else
	if
	:: v > inForce[p] -> inForce[p] = v
	:: else -> skip
	fi
#endif
}

/* All serving processes have at least version v. */
#define IN_FORCE_EVERYWHERE(v) ((!serving[0] || inForce[0] >= v) && \
	(!serving[1] || inForce[1] >= v) && (!serving[2] || inForce[2] >= v))

proctype Coordinator(byte change) {
	byte baseVersion, newVersion, p;
	bool replyLost, required[PROCS];

	/* Read the head, on which the change is based. Staging is modelled only by its
	   failure: a failed call or a rejection refuses the change. */
	atomic {
		baseVersion = head;
		if
		:: reportedRefused[change] = true; goto finished
		:: skip
		fi;
		required[0] = listed[0]; required[1] = listed[1]; required[2] = listed[2]
	}
	if
	:: goto finished /* crashes before the commit: no outcome is reported */
	:: skip
	fi;
	/* Commit. */
	atomic {
		replyLost = false;
		if
#ifdef NO_CONDITIONAL_WRITE
		:: true ->
#else
		:: head == baseVersion ->
#endif
			newVersion = baseVersion + 1;
			head = newVersion;
			headChange = change;
			committedAs[change] = newVersion;
			if
			:: replyLost = true
			:: skip
			fi
#ifndef NO_CONDITIONAL_WRITE
		:: head != baseVersion -> reportedRefused[change] = true; goto finished
#endif
		/* The write never arrived, so there was no reply. */
		:: newVersion = baseVersion + 1; replyLost = true
		fi
	}
	if
	:: replyLost ->
#ifdef NO_COMMIT_LOOKUP
		reportedRefused[change] = true; goto finished
#else
		/* settleCommit reads the row of the change, or finds a head beyond its base. */
		atomic {
			if
			:: committedAs[change] > 0 -> skip
			:: committedAs[change] == 0 && head > baseVersion -> reportedRefused[change] = true; goto finished
			:: committedAs[change] == 0 && head == baseVersion -> goto finished /* unknown: no outcome is reported */
			fi
		}
#endif
	:: else -> skip
	fi;
	if
	:: goto finished /* crashes after the commit */
	:: skip
	fi;
#ifndef NO_RELIST
	atomic { required[0] = listed[0]; required[1] = listed[1]; required[2] = listed[2] };
#endif
#ifndef NO_CONFIRM
	/* Activate at every required process; a failed call leaves the change committed. */
	p = 0;
	do
	:: p < PROCS -> atomic {
		if
		:: required[p] -> activate(p, newVersion)
		:: required[p] -> goto finished
		:: !required[p] -> skip
		fi;
		p++ }
	:: p == PROCS -> break
	od;
#endif
	atomic {
		reportedAccepted[change] = true;
		if
		:: newVersion > acceptedVersion -> acceptedVersion = newVersion
		:: else -> skip
		fi
	}
finished:
	atomic {
		baseVersion = 0; newVersion = 0; p = 0; replyLost = false;
		required[0] = false; required[1] = false; required[2] = false
	}
}

/* Entries read the head periodically. */
active proctype Follower() {
	byte reads = 0;
	do
	:: reads < 2 && !tableUnavailable -> atomic { activate(0, head); reads++ }
	:: reads < 2 && !tableUnavailable && serving[1] -> atomic { activate(1, head); reads++ }
	:: break
	od
}

active proctype Joiner() {
	byte headRead;
#ifdef NO_LIST_FIRST
	headRead = head;
	listed[2] = true;
#else
	listed[2] = true;
	headRead = head;
#endif
	atomic {
		activate(2, headRead);
		serving[2] = true
	}
}

/* Process 1 restarts as a new incarnation; the table may be unavailable. */
active proctype Restart() {
	if
	:: atomic { serving[1] = false; inForce[1] = 0 };
#ifdef NO_READINESS
		serving[1] = true;
#endif
		if
		:: atomic { activate(1, head); serving[1] = true }
		/* The table is unavailable: a peer returns its active configuration. */
		:: atomic { serving[0]; activate(1, inForce[0]); serving[1] = true }
		fi
	:: skip
	fi
}

/* A delayed or repeated activation of the first change. */
active proctype DelayedActivation() {
	if
	:: atomic { committedAs[1] > 0 -> activate(0, committedAs[1]) }
	:: skip
	fi
}

init {
	atomic {
		listed[0] = true; listed[1] = true;
		serving[0] = true; serving[1] = true;
		run Coordinator(1);
		run Coordinator(2)
	}
}

/* At most one change is committed as a given version. */
ltl oneChangePerVersion { [] !(committedAs[1] > 0 && committedAs[1] == committedAs[2]) }
/* Once accepted, a change or a later one is in force at every serving process. */
ltl acceptedInForce { [] IN_FORCE_EVERYWHERE(acceptedVersion) }
/* The version of a process never decreases while the process serves. */
ltl versionsNeverDecrease { [] !versionDecreased }
/* A refused change was never committed, so it is in force nowhere. */
ltl refusedNeverCommitted { []
	!((reportedRefused[1] && committedAs[1] > 0) || (reportedRefused[2] && committedAs[2] > 0)) }
/* No change is reported both accepted and refused. */
ltl oneOutcome { []
	!((reportedAccepted[1] && reportedRefused[1]) || (reportedAccepted[2] && reportedRefused[2])) }
