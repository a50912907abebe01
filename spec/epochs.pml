/*
 * A store that is restored from an older copy of itself, checked exhaustively by
 * spin.
 *
 * One row counts: an operator writes it with rising numbers of its own, and writes
 * it again when the store has lost it, or never does. Other rows take versions. The
 * store is copied at any moment and comes back from the copy up to twice, in any
 * order with all the rest, so its versions are given out again, fewer or more than
 * were lost. A delegate follows the store; another entry asks the delegate or the
 * store, whichever it reaches, and may be killed and start anew.
 *
 * What stands for what:
 *   Direct     belief.Follower over the store; its log is relay.Log
 *   Asker      belief.Follower over relay.Store
 *   take       belief.Routes.offer
 *
 * Safeguards, removed by -DNO_<name>:
 *   EPOCH      a version is compared within its epoch only
 *   LIST       changes of a later epoch are not taken over before the whole table
 *   OWN        what a row says of itself decides whether it is newer
 *   LOG        the delegate's log begins anew with the epoch
 */

#define MOST_VER 3
#define MOST_TOP 2

byte ver = 0, epoch = 1, row = 0, rowVer = 0;
byte copyVer = 0, copyRow = 0, copyRowVer = 0;
byte top = 0;           /* the operator's latest number */
byte returns = 0, copies = 0;

/* The delegate's log, which holds the row as it got it. */
byte logEpoch = 0, logVer = 0, logRow = 0, logRowVer = 0;
bool logKnown = false;

bool wentBack = false;  /* an entry went back to an older row */
bool missed = false;    /* an answer confirmed a row that is older than its source's */

inline take(inForce, r) {
#ifdef NO_OWN
	if
	:: r < inForce -> wentBack = true
	:: else -> skip
	fi;
	inForce = r
#else
	if
	:: r > inForce -> inForce = r
	:: else -> skip
	fi
#endif
}

inline confirm(inForce, r) {
	if
	:: inForce < r -> missed = true
	:: else -> skip
	fi
}

active proctype Operator() {
end:	do
	:: atomic { top < MOST_TOP && ver < MOST_VER -> top++; ver++; row = top; rowVer = ver }
	:: atomic { row < top && ver < MOST_VER -> ver++; row = top; rowVer = ver }
	:: atomic { ver < MOST_VER -> ver++ }
	od
}

active proctype Store() {
end:	do
	:: atomic { copies < 2 -> copies++; copyVer = ver; copyRow = row; copyRowVer = rowVer }
	:: atomic { returns < 2 -> returns++; epoch++; ver = copyVer; row = copyRow; rowVer = copyRowVer }
	od
}

/* Reads the whole table. */
inline list(e, v, inForce, synced, srcEpoch, srcVer, srcRow) {
	e = srcEpoch;
#ifdef NO_EPOCH
	v = (srcVer > v -> srcVer : v);
#else
	v = srcVer;
#endif
	take(inForce, srcRow);
	synced = true;
	confirm(inForce, srcRow)
}

/* Reads the changes after a version. */
inline changes(e, v, inForce, synced, srcEpoch, srcVer, srcRow, srcRowVer) {
	if
	:: v > srcVer -> synced = false
#ifndef NO_EPOCH
	:: v <= srcVer && srcEpoch != e ->
#ifdef NO_LIST
		if
		:: srcRowVer > v -> take(inForce, srcRow)
		:: else -> skip
		fi;
		e = srcEpoch;
		v = srcVer;
		confirm(inForce, srcRow)
#else
		synced = false
#endif
	:: v <= srcVer && srcEpoch == e ->
#else
	:: v <= srcVer ->
#endif
		if
		:: srcRowVer > v -> take(inForce, srcRow)
		:: else -> skip
		fi;
		v = srcVer;
		confirm(inForce, srcRow)
	fi
}

inline note() {
#ifdef NO_LOG
	logVer = (ver > logVer -> ver : logVer);
	logRow = row; logRowVer = rowVer; logKnown = true
#else
	logEpoch = epoch; logVer = ver; logRow = row; logRowVer = rowVer; logKnown = true
#endif
}

active proctype Direct() {
	byte e = 0, v = 0, inForce = 0;
	bool synced = false;
end:	do
	:: atomic { !synced -> list(e, v, inForce, synced, epoch, ver, row); note() }
	:: atomic { synced -> changes(e, v, inForce, synced, epoch, ver, row, rowVer);
		if
		:: synced -> note()
		:: else -> skip
		fi }
	od
}

active proctype Asker() {
	byte e = 0, v = 0, inForce = 0;
	bool synced = false;
end:	do
	:: atomic { !synced -> list(e, v, inForce, synced, epoch, ver, row) }
	:: atomic { synced -> changes(e, v, inForce, synced, epoch, ver, row, rowVer) }
	:: atomic { !synced && logKnown && logEpoch >= e -> list(e, v, inForce, synced, logEpoch, logVer, logRow) }
	:: atomic { synced && logKnown && logEpoch >= e && (v <= logVer || logEpoch > e) ->
		changes(e, v, inForce, synced, logEpoch, logVer, logRow, logRowVer) }
	/* killed; the next one begins with nothing */
	:: atomic { e = 0; v = 0; inForce = 0; synced = false }
	od
}

ltl neverBack { [] !wentBack }
ltl upToDate { [] !missed }
