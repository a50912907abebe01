/*
 * Model of the at-most-once protocol for calls that carry an idempotency key of
 * the caller or a ticket. `make spec` checks it exhaustively with spin: with all
 * safeguards, where every property must hold, and with each safeguard removed,
 * where the named property must fail.
 *
 * One identifier K is issued at any time, before or after the home of K changes
 * its incarnation. Entries deliver the call several times, also late, to either
 * incarnation. One entry asks for the outcome of the call. Incarnation B of the
 * home follows incarnation A: A may crash, freeze between any two steps and resume
 * after B took over, or lose its connection to the table until its lease lapses.
 * The upstream checks fencing tokens only with FENCED. With TICKET, K is bound
 * to A.
 *
 * The parts of the model and the code that they stand for:
 *   Network        deliveries of the call to sidecar.Server.invoke
 *   Delivery       sidecar.Server.runOnce: known, mayRun, callBook.begin, send
 *   mayRun         sidecar.Server.mayRunKey and mayRunTicket
 *   checkLease     sidecar.Server.send, the lease check right before the send
 *   execute        serviceLink.do: the upstream runs the call
 *   SettleQuery    sidecar.Server.settled: a tombstone, or the recorded state
 *   LeaseTakeover  lease.Lease.Renew by A until its lease lapses, then by B
 *
 * Safeguards; -DNO_<name> removes one:
 *   RECORD          the call is recorded before the send
 *   KEY_AGE         an incarnation refuses keys that are older than its lease
 *   TOMBSTONE       settling an identifier that never arrived keeps it from running later
 *   LEASE_WAIT      a new incarnation waits until the old lease ends
 *   TICKET_BINDING  a ticket runs only in the incarnation that it is bound to
 *   RECHECK         the lease is checked again right before the send
 *
 * atMostOnce and notRunImpliesNoRun hold without RECHECK, because KEY_AGE alone
 * is enough for them. RECHECK keeps a holder that resumes after its lease ended
 * from sending the call (noStaleRun). CHECK_GAP allows a pause of the process
 * between this check and the send. Then noStaleRun fails; no other interleaving
 * breaks it. An upstream that checks fencing tokens (FENCED) closes this gap.
 */

#define DELIVERIES 3
#define ABSENT 0
#define STARTED 1
#define DONE 2
#define TOMBSTONED 3
#define ANSWER_LOST 4

/* The outcomes reported to callers, and the runs at the upstream. A stale run is a
   run by A while B holds the lease. */
bool reportedNotRun, reportedDone;
byte runs, staleRuns;

/* The two incarnations: 0 is A, 1 is B. */
bool alive[2], leaseValid[2], started;
byte callState[2];
byte highestFencingToken;

/* Whether K was issued, and whether B held the lease at that time. */
bool issued, issuedUnderB;

byte deliveries = DELIVERIES;
byte settleQueries = 2;

inline mayRun(self, ok) {
#ifdef TICKET
#ifdef NO_TICKET_BINDING
	ok = true;
#else
	ok = (self == 0);
#endif
#else
	ok = leaseValid[self];
#ifndef NO_KEY_AGE
	if
	:: self == 1 && !issuedUnderB -> ok = false
	:: else -> skip
	fi
#endif
#endif
}

/* The upstream runs the call, unless it checks fencing tokens and has seen a
   higher token. */
inline execute(self) {
	if
#ifdef FENCED
	:: self < highestFencingToken -> callState[self] = TOMBSTONED; goto finished
#endif
	:: else ->
		runs++;
		if
		:: self == 0 && leaseValid[1] -> staleRuns++
		:: else -> skip
		fi
	fi
}

inline checkLease(self) {
#ifndef NO_RECHECK
#ifndef TICKET
	if
	:: !leaseValid[self] -> callState[self] = TOMBSTONED; goto finished
	:: else -> skip
	fi;
#endif
#endif
	skip
}

/* Sends the call to the upstream; the answer arrives or is lost. */
inline send(self) {
	if
	:: alive[self] -> execute(self); callState[self] = DONE; reportedDone = true
	:: alive[self] -> execute(self); callState[self] = ANSWER_LOST
	:: !alive[self] -> skip
	fi
}

/* Handles one delivery of the call to incarnation self. */
proctype Delivery(byte self) {
	bool ok;

	atomic {
		if
		:: callState[self] == DONE -> reportedDone = true; goto finished
		:: callState[self] == TOMBSTONED -> reportedNotRun = true; goto finished
		:: callState[self] == STARTED || callState[self] == ANSWER_LOST -> goto finished
		:: else -> skip
		fi;
		mayRun(self, ok);
		if
		:: !ok -> goto finished
		:: else -> skip
		fi;
#ifndef NO_RECORD
		callState[self] = STARTED
#endif
	}
	/* Here the process may pause for any time, or crash. */
#ifdef CHECK_GAP
	atomic { checkLease(self) };
	atomic { send(self) };
#else
	atomic { checkLease(self); send(self) };
#endif
finished:	skip
}

active proctype Network() {
	started;
	atomic { issued = true; issuedUnderB = leaseValid[1] };
	do
	:: deliveries > 0 && alive[0] -> deliveries--; run Delivery(0)
	:: deliveries > 0 && alive[1] -> deliveries--; run Delivery(1)
	:: deliveries > 0 -> deliveries--
	:: deliveries == 0 -> break
	od
}

/* An entry asks for the outcome of the call. */
active proctype SettleQuery() {
	byte self;
	bool ok;
	issued;
	do
	:: settleQueries > 0 ->
		settleQueries--;
		if
		:: self = 0
		:: self = 1
		fi;
		atomic {
			if
			:: !alive[self] -> skip
			:: alive[self] && callState[self] == DONE -> reportedDone = true
			:: alive[self] && callState[self] == TOMBSTONED -> reportedNotRun = true
			:: alive[self] && (callState[self] == STARTED || callState[self] == ANSWER_LOST) -> skip
			:: alive[self] && callState[self] == ABSENT ->
				mayRun(self, ok);
				if
				:: ok ->
#ifndef NO_TOMBSTONE
					callState[self] = TOMBSTONED;
#endif
					reportedNotRun = true
				:: else -> skip
				fi
			fi
		}
	:: settleQueries == 0 -> break
	od
}

/* A may crash; its lease lapses; B takes over. If A did not crash, it is frozen or
   disconnected from the table. */
active proctype LeaseTakeover() {
	started;
	if
	:: alive[0] = false
	:: skip
	fi;
#ifndef NO_LEASE_WAIT
	leaseValid[0] = false;
#endif
	atomic {
		alive[1] = true;
		leaseValid[1] = true;
		highestFencingToken = 1
	}
}

init {
	atomic { alive[0] = true; leaseValid[0] = true; started = true }
}

ltl atMostOnce { [] (runs <= 1) }
ltl notRunImpliesNoRun { [] !(reportedNotRun && runs > 0) }
ltl doneImpliesRun { [] (reportedDone -> runs >= 1) }
ltl noStaleRun { [] (staleRuns == 0) }
