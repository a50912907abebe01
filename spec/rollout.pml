/*
 * The staged rollout of configurations, checked exhaustively by spin.
 *
 * Two operators submit changes through two coordinators. Processes 0 and 1 run
 * from the start, process 2 joins late. Links may be cut at any call, the
 * reply to the commit may be lost, coordinators may die between any two steps,
 * process 1 may restart, and an activation may arrive late or twice.
 *
 * What stands for what:
 *   Coordinator  rollout.Coordinator.Submit: base check, stageEverywhere,
 *                commit, settleCommit, confirm
 *   activate     rollout.Store.take
 *   Follower     rollout.Coordinator.Follow: a process reads the head
 *   Joiner       a fresh process: listed on the VM list, then Refresh, then
 *                ready
 *   Restart      the same for a process that ran before; with the table out it
 *                asks a peer (rollout.Store.CatchUp)
 *   Late         a late or repeated config.activate
 *
 * Safeguards, removed by -DNO_<name>:
 *   CONDITION  the head is written only if it is as read
 *   SETTLE     a commit without a reply is looked up before anything is said
 *   CONFIRM    accepted is said only when all listed processes confirmed
 *   MONOTONE   a process takes only a higher version
 *   RELIST     the VM list is read again before confirming
 *   JOIN       a fresh process reads the head only after it is listed
 *   SERVE      a fresh process serves nothing before it has a configuration
 */

#define PROCS 3

byte head = 0;          /* committed version */
byte headChange = 0;    /* change that made it; 0 is the first configuration */
byte committedAs[3];    /* version a change was committed as, 0 if never */

byte inForce[PROCS];
bool listed[PROCS];
bool serving[PROCS];

bool saidAccepted[3], saidRefused[3];
byte acceptedVersion = 0;
bool wentLower = false;
bool tableOut = false;

inline activate(p, v) {
#ifdef NO_MONOTONE
	if
	:: v < inForce[p] && serving[p] -> wentLower = true
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
#define EVERYWHERE(v) ((!serving[0] || inForce[0] >= v) && \
	(!serving[1] || inForce[1] >= v) && (!serving[2] || inForce[2] >= v))

proctype Coordinator(byte change) {
	byte base, mine, p;
	bool lost, must[PROCS];

	/* Read the head: the operator started from it. Staging has no effect here
	   but that a cut link or a no refuses the change. */
	atomic {
		base = head;
		if
		:: saidRefused[change] = true; goto over
		:: skip
		fi;
		must[0] = listed[0]; must[1] = listed[1]; must[2] = listed[2]
	}
	if
	:: goto over /* dies before the commit: nothing was said */
	:: skip
	fi;
	/* Commit. */
	atomic {
		lost = false;
		if
#ifdef NO_CONDITION
		:: true ->
#else
		:: head == base ->
#endif
			mine = base + 1;
			head = mine;
			headChange = change;
			committedAs[change] = mine;
			if
			:: lost = true
			:: skip
			fi
#ifndef NO_CONDITION
		:: head != base -> saidRefused[change] = true; goto over
#endif
		/* The write never arrived, and no reply came. */
		:: mine = base + 1; lost = true
		fi
	}
	if
	:: lost ->
#ifdef NO_SETTLE
		saidRefused[change] = true; goto over
#else
		/* settleCommit: the change's own row, or a head that moved on. */
		atomic {
			if
			:: committedAs[change] > 0 -> skip
			:: committedAs[change] == 0 && head > base -> saidRefused[change] = true; goto over
			:: committedAs[change] == 0 && head == base -> goto over /* in doubt: nothing is said */
			fi
		}
#endif
	:: else -> skip
	fi;
	if
	:: goto over /* dies after the commit */
	:: skip
	fi;
#ifndef NO_RELIST
	atomic { must[0] = listed[0]; must[1] = listed[1]; must[2] = listed[2] };
#endif
#ifndef NO_CONFIRM
	/* Activate everywhere; a cut link leaves the change committed. */
	p = 0;
	do
	:: p < PROCS -> atomic {
		if
		:: must[p] -> activate(p, mine)
		:: must[p] -> goto over
		:: !must[p] -> skip
		fi;
		p++ }
	:: p == PROCS -> break
	od;
#endif
	atomic {
		saidAccepted[change] = true;
		if
		:: mine > acceptedVersion -> acceptedVersion = mine
		:: else -> skip
		fi
	}
over:	atomic { base = 0; mine = 0; p = 0; lost = false; must[0] = false; must[1] = false; must[2] = false }
}

/* Entries read the head now and then. */
active proctype Follower() {
	byte n = 0;
	do
	:: n < 2 && !tableOut -> atomic { activate(0, head); n++ }
	:: n < 2 && !tableOut && serving[1] -> atomic { activate(1, head); n++ }
	:: break
	od
}

active proctype Joiner() {
	byte seen;
#ifdef NO_JOIN
	seen = head;
	listed[2] = true;
#else
	listed[2] = true;
	seen = head;
#endif
	atomic {
		activate(2, seen);
		serving[2] = true
	}
}

/* Process 1 restarts as a fresh incarnation; the table may be out. */
active proctype Restart() {
	if
	:: atomic { serving[1] = false; inForce[1] = 0 };
#ifdef NO_SERVE
		serving[1] = true;
#endif
		if
		:: atomic { activate(1, head); serving[1] = true }
		/* The table is out: a peer shows what it has in force. */
		:: atomic { serving[0]; activate(1, inForce[0]); serving[1] = true }
		fi
	:: skip
	fi
}

/* A late or repeated activation of the first change. */
active proctype Late() {
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

/* At most one change is committed as any version. */
ltl oneWinner { [] !(committedAs[1] > 0 && committedAs[1] == committedAs[2]) }
/* Accepted implies in force at every process that serves, from then on. */
ltl acceptedHolds { [] EVERYWHERE(acceptedVersion) }
/* A process never goes to a lower version while it serves. */
ltl neverLower { [] !wentLower }
/* Refused is in force nowhere: it was never committed. */
ltl refusedNowhere { [] !((saidRefused[1] && committedAs[1] > 0) || (saidRefused[2] && committedAs[2] > 0)) }
/* Nothing is both accepted and refused. */
ltl oneAnswer { [] !((saidAccepted[1] && saidRefused[1]) || (saidAccepted[2] && saidRefused[2])) }
