/*
 * Model of the staged rollout of configurations while the platform's table is
 * restored from older backups of itself, checked exhaustively by spin.
 *
 * Two operators, or three with THREE_OPERATORS, submit changes through two
 * processes. The table is backed up at any moment and restored from the backup
 * up to twice, in any order with all other steps, so versions are issued again.
 * A third process starts at any moment. Failed calls, lost replies and
 * coordinators that crash are covered by rollout.pml.
 *
 * The parts of the model and the code that they stand for:
 *   Coordinator  rollout.Coordinator.submit: latestHead, stageEverywhere, commit,
 *                confirm
 *   followHead   rollout.Coordinator.Refresh
 *   activate     rollout.Store.take
 *
 * Safeguards; -DNO_<name> removes one:
 *   HEAD_REWRITE  a process writes the head again if the head is older than the
 *                 configuration that the process runs
 *   VALUE_CHECK   the head is written only if its change is the one that was read,
 *                 not only its version
 *   CHANGE_CHECK  a process confirms an activation by the change that it runs, not
 *                 only by the version
 */

#define PROCS 3
#ifdef THREE_OPERATORS
#define COORDINATORS 3
#else
#define COORDINATORS 2
#endif

byte headVersion = 1, headChange = 0; /* version and change of the committed head */
byte backupVersion = 1, backupChange = 0;
byte activeVersion[PROCS], activeChange[PROCS]; /* version and change that each process runs */
bool serving[PROCS];
byte acceptedVersion = 0, acceptedChange = 0;
byte coordinatorsEnded = 0;
bool falselyAccepted = false;
bool blindOverwrite = false; /* a head was overwritten by a writer that had not read it */
bool diverged = false; /* processes that follow the head run different versions */

inline activate(p, version, wanted) {
	if
	:: version > activeVersion[p] -> activeVersion[p] = version; activeChange[p] = wanted
	:: else -> skip
	fi
}

inline rewriteHead(p) {
#ifdef NO_HEAD_REWRITE
	skip
#else
	if
	:: activeVersion[p] > headVersion -> headVersion = activeVersion[p]; headChange = activeChange[p]
	:: else -> skip
	fi
#endif
}

inline followHead(p) {
	if
	:: serving[p] -> rewriteHead(p); activate(p, headVersion, headChange)
	:: else -> activeVersion[p] = headVersion; activeChange[p] = headChange; serving[p] = true
	fi
}

/* A serving process runs the wanted change of the version, or a later version. */
#define RUNS_AT_LEAST(p, version, wanted) (!serving[p] || activeVersion[p] > version || \
	(activeVersion[p] == version && activeChange[p] == wanted))

proctype Coordinator(byte change, self) {
	byte baseVersion, baseChange, newVersion, p;

	atomic {
		rewriteHead(self);
		baseVersion = headVersion; baseChange = headChange; newVersion = baseVersion + 1
	};
	/* A process rejects a change whose new version it already runs. */
	p = 0;
	do
	:: p < PROCS -> atomic {
		if
		:: serving[p] && activeVersion[p] >= newVersion -> goto ended
		:: else -> p++
		fi }
	:: p == PROCS -> break
	od;
	atomic {
		if
#ifdef NO_VALUE_CHECK
		:: headVersion == baseVersion ->
#else
		:: headVersion == baseVersion && headChange == baseChange ->
#endif
			blindOverwrite = blindOverwrite || headChange != baseChange;
			headVersion = newVersion;
			headChange = change
		:: else -> goto ended
		fi
	};
	p = 0;
	do
	:: p < PROCS -> atomic {
		if
		:: serving[p] -> activate(p, newVersion, change)
		:: else -> skip
		fi;
		if
#ifdef NO_CHANGE_CHECK
		:: serving[p] && activeVersion[p] < newVersion -> goto ended
#else
		:: !RUNS_AT_LEAST(p, newVersion, change) -> goto ended
#endif
		:: else -> p++
		fi }
	:: p == PROCS -> break
	od;
	atomic {
		falselyAccepted = falselyAccepted ||
			!(RUNS_AT_LEAST(0, newVersion, change) && RUNS_AT_LEAST(1, newVersion, change));
		if
		:: newVersion > acceptedVersion -> acceptedVersion = newVersion; acceptedChange = change
		:: else -> skip
		fi
	}
ended:	atomic { baseVersion = 0; baseChange = 0; newVersion = 0; p = 0; coordinatorsEnded++ }
}

active proctype Table() {
	byte backups = 0, restores = 0;
end:	do
	:: atomic { backups < 1 -> backups++; backupVersion = headVersion; backupChange = headChange }
	:: atomic { restores < 2 -> restores++; headVersion = backupVersion; headChange = backupChange }
	od
}

active proctype Follower() {
end:	do
	:: atomic { serving[0] -> followHead(0) }
	:: atomic { serving[1] -> followHead(1) }
	:: atomic { true -> followHead(2) }
	od
}

/* After all changes have ended, each process follows the head twice. */
active proctype ConvergenceCheck() {
	atomic {
		coordinatorsEnded == COORDINATORS ->
		followHead(0); followHead(1); followHead(2);
		followHead(0); followHead(1); followHead(2);
		diverged = !(activeVersion[0] == activeVersion[1] && activeVersion[1] == activeVersion[2])
	}
}

init {
	atomic {
		activeVersion[0] = 1; activeVersion[1] = 1;
		serving[0] = true; serving[1] = true;
		run Coordinator(1, 0);
		run Coordinator(2, 1)
#ifdef THREE_OPERATORS
		; run Coordinator(3, 0)
#endif
	}
}

/* An accepted change is in force at each process that ran all the time, */
ltl noFalseAcceptance { [] !falselyAccepted }
/* and stays in force until a later version replaces it. */
ltl acceptedStaysInForce { []
	(acceptedVersion == 0 || (RUNS_AT_LEAST(0, acceptedVersion, acceptedChange) &&
		RUNS_AT_LEAST(1, acceptedVersion, acceptedChange))) }
/* A change overwrites only the head that it is based on. */
ltl noBlindOverwrite { [] !blindOverwrite }
/* In the end all processes run the same version. */
ltl processesConverge { [] !diverged }
