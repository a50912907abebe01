/*
 * The at-most-once and not-run protocol for calls with a caller's key or a
 * ticket, checked exhaustively by spin. `make spec` runs it with all
 * safeguards, where it must hold, and with each safeguard removed in turn,
 * where it must fail.
 *
 * One identifier K, issued at any time: before or after a change of the home's
 * incarnation. Entries pass copies of the call on, also twice and late, to
 * whichever incarnation they believe in; one asks what became of it. Two
 * incarnations A and B of the home follow each other: A may die, freeze between
 * any two steps and wake after B took over, or be cut off from the table until
 * its lease lapses. The upstream does not check fencing tokens unless FENCED is
 * defined. With TICKET, K is bound to A.
 *
 * What stands for what:
 *   Network     sidecar.Server.invoke reached by a copy of the call
 *   Copy        sidecar.Server.runOnce: known, mayRun, callBook.begin, send
 *   mayRun      sidecar.Server.mayRunKey and mayRunTicket
 *   look        sidecar.Server.send, the check right before the send
 *   execute     serviceLink.do: the upstream runs the call
 *   Question    sidecar.Server.settled: tombstone, or what is known
 *   Succession  lease.Lease.Renew by A until it lapses, then by B
 *
 * Safeguards, removed by -DNO_<name>:
 *   RECORD     the call is recorded before the send
 *   AGE        an incarnation refuses keys older than its lease
 *   TOMBSTONE  settle bars an identifier that never arrived
 *   WAIT       a new incarnation waits for the old lease's end
 *   BOUND      a ticket runs in its own incarnation only
 *   LOOK       the lease is looked at again right before the send
 *
 * LOOK is not needed for atMostOnce and notRun: AGE alone keeps them, which the
 * check shows. It is what makes a holder that wakes after its lease do nothing
 * (noLateRun). HOLE lets the process stop between the look and the send; then
 * noLateRun fails, and this is the only hole. An upstream that checks tokens
 * (FENCED) closes it.
 */

#define COPIES 3
#define ABSENT 0
#define STARTED 1
#define DONE 2
#define BARRED 3
#define LOST 4

/* What callers were told, and what the upstream did. */
bool saidNotRun, saidDone;
byte runs, lateRuns;

/* The two incarnations: 0 is A, 1 is B. */
bool alive[2], leaseValid[2], begun;
byte recordOf[2];
byte highestFence;

/* Whether K was issued, and whether B held the lease by then. */
bool issued, bornUnderB;

byte copies = COPIES;
byte questions = 2;

inline mayRun(me, ok) {
#ifdef TICKET
#ifdef NO_BOUND
	ok = true;
#else
	ok = (me == 0);
#endif
#else
	ok = leaseValid[me];
#ifndef NO_AGE
	if
	:: me == 1 && !bornUnderB -> ok = false
	:: else -> skip
	fi
#endif
#endif
}

/* The upstream runs the call, unless it checks fencing tokens and has seen a
   higher one. */
inline execute(me) {
	if
#ifdef FENCED
	:: me < highestFence -> recordOf[me] = BARRED; goto over
#endif
	:: else ->
		runs++;
		if
		:: me == 0 && leaseValid[1] -> lateRuns++
		:: else -> skip
		fi
	fi
}

inline look(me) {
#ifndef NO_LOOK
#ifndef TICKET
	if
	:: !leaseValid[me] -> recordOf[me] = BARRED; goto over
	:: else -> skip
	fi;
#endif
#endif
	skip
}

/* The send, with its answer or without. */
inline send(me) {
	if
	:: alive[me] -> execute(me); recordOf[me] = DONE; saidDone = true
	:: alive[me] -> execute(me); recordOf[me] = LOST
	:: !alive[me] -> skip
	fi
}

/* One copy of the call arrives at incarnation me and is taken to its end. */
proctype Copy(byte me) {
	bool ok;

	atomic {
		if
		:: recordOf[me] == DONE -> saidDone = true; goto over
		:: recordOf[me] == BARRED -> saidNotRun = true; goto over
		:: recordOf[me] == STARTED || recordOf[me] == LOST -> goto over
		:: else -> skip
		fi;
		mayRun(me, ok);
		if
		:: !ok -> goto over
		:: else -> skip
		fi;
#ifndef NO_RECORD
		recordOf[me] = STARTED
#endif
	}
	/* Here the process may stand still for any time, or die. */
#ifdef HOLE
	atomic { look(me) };
	atomic { send(me) };
#else
	atomic { look(me); send(me) };
#endif
over:	skip
}

active proctype Network() {
	begun;
	atomic { issued = true; bornUnderB = leaseValid[1] };
	do
	:: copies > 0 && alive[0] -> copies--; run Copy(0)
	:: copies > 0 && alive[1] -> copies--; run Copy(1)
	:: copies > 0 -> copies--
	:: copies == 0 -> break
	od
}

/* An entry asks what became of the call. */
active proctype Question() {
	byte me;
	bool ok;
	issued;
	do
	:: questions > 0 ->
		questions--;
		if
		:: me = 0
		:: me = 1
		fi;
		atomic {
			if
			:: !alive[me] -> skip
			:: alive[me] && recordOf[me] == DONE -> saidDone = true
			:: alive[me] && recordOf[me] == BARRED -> saidNotRun = true
			:: alive[me] && (recordOf[me] == STARTED || recordOf[me] == LOST) -> skip
			:: alive[me] && recordOf[me] == ABSENT ->
				mayRun(me, ok);
				if
				:: ok ->
#ifndef NO_TOMBSTONE
					recordOf[me] = BARRED;
#endif
					saidNotRun = true
				:: else -> skip
				fi
			fi
		}
	:: questions == 0 -> break
	od
}

/* A may die; its lease lapses; B takes over. A that did not die is the frozen
   or cut off holder. */
active proctype Succession() {
	begun;
	if
	:: alive[0] = false
	:: skip
	fi;
#ifndef NO_WAIT
	leaseValid[0] = false;
#endif
	atomic {
		alive[1] = true;
		leaseValid[1] = true;
		highestFence = 1
	}
}

init {
	atomic { alive[0] = true; leaseValid[0] = true; begun = true }
}

ltl atMostOnce { [] (runs <= 1) }
ltl notRun { [] !(saidNotRun && runs > 0) }
ltl doneRan { [] (saidDone -> runs >= 1) }
ltl noLateRun { [] (lateRuns == 0) }
