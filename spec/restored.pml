/*
 * The staged rollout of configurations while the platform's table is restored
 * from older copies of itself, checked exhaustively by spin.
 *
 * Two operators, or three with -DTHIRD, submit changes through two processes. The table is copied at any
 * moment and restored from the copy up to twice, in any order with all the rest, so
 * versions are given out again. A third process starts at any moment. Cut links,
 * lost replies and coordinators that die are in rollout.pml.
 *
 * What stands for what:
 *   Coordinator  rollout.Coordinator.submit: latestHead, stageEverywhere, commit,
 *                confirm
 *   follow       rollout.Coordinator.Refresh
 *   take         rollout.Store.take
 *
 * Safeguards, removed by -DNO_<name>:
 *   AHEAD      a head that is older than what is in force is written again
 *   VALUE      the head is written over the value that was read
 *   CHANGE     an activation tells the change in force, not its version only
 */

#define PROCS 3
#ifdef THIRD
#define COORDINATORS 3
#else
#define COORDINATORS 2
#endif

byte headV = 1, headC = 0;      /* version and change of the head */
byte copyV = 1, copyC = 0;
byte inV[PROCS], inC[PROCS];    /* what is in force */
bool serving[PROCS];
byte acceptedV = 0, acceptedC = 0;
byte over = 0;                  /* coordinators that have ended */
bool falselyAccepted = false;
bool overUnread = false;        /* a head was written over one that its writer had not read */
bool leftBehind = false;        /* a process that follows the head runs less than another one */

inline take(p, v, c) {
	if
	:: v > inV[p] -> inV[p] = v; inC[p] = c
	:: else -> skip
	fi
}

inline writeAgain(p) {
#ifdef NO_AHEAD
	skip
#else
	if
	:: inV[p] > headV -> headV = inV[p]; headC = inC[p]
	:: else -> skip
	fi
#endif
}

inline follow(p) {
	if
	:: serving[p] -> writeAgain(p); take(p, headV, headC)
	:: else -> inV[p] = headV; inC[p] = headC; serving[p] = true
	fi
}

/* A process runs change c of version v, or a later version. */
#define RUNS(p, v, c) (!serving[p] || inV[p] > v || (inV[p] == v && inC[p] == c))

proctype Coordinator(byte change, self) {
	byte baseV, baseC, mine, p;

	atomic { writeAgain(self); baseV = headV; baseC = headC; mine = baseV + 1 };
	/* A process refuses to hold a change that would get a version it has in force. */
	p = 0;
	do
	:: p < PROCS -> atomic {
		if
		:: serving[p] && inV[p] >= mine -> goto ended
		:: else -> p++
		fi }
	:: p == PROCS -> break
	od;
	atomic {
		if
#ifdef NO_VALUE
		:: headV == baseV ->
#else
		:: headV == baseV && headC == baseC ->
#endif
			overUnread = overUnread || headC != baseC;
			headV = mine;
			headC = change
		:: else -> goto ended
		fi
	};
	p = 0;
	do
	:: p < PROCS -> atomic {
		if
		:: serving[p] -> take(p, mine, change)
		:: else -> skip
		fi;
		if
#ifdef NO_CHANGE
		:: serving[p] && inV[p] < mine -> goto ended
#else
		:: !RUNS(p, mine, change) -> goto ended
#endif
		:: else -> p++
		fi }
	:: p == PROCS -> break
	od;
	atomic {
		falselyAccepted = falselyAccepted || !(RUNS(0, mine, change) && RUNS(1, mine, change));
		if
		:: mine > acceptedV -> acceptedV = mine; acceptedC = change
		:: else -> skip
		fi
	}
ended:	atomic { baseV = 0; baseC = 0; mine = 0; p = 0; over++ }
}

active proctype Table() {
	byte copies = 0, restores = 0;
end:	do
	:: atomic { copies < 1 -> copies++; copyV = headV; copyC = headC }
	:: atomic { restores < 2 -> restores++; headV = copyV; headC = copyC }
	od
}

active proctype Follower() {
end:	do
	:: atomic { serving[0] -> follow(0) }
	:: atomic { serving[1] -> follow(1) }
	:: atomic { true -> follow(2) }
	od
}

/* All changes are over, and each process has followed the head for a while. */
active proctype Settled() {
	atomic {
		over == COORDINATORS ->
		follow(0); follow(1); follow(2);
		follow(0); follow(1); follow(2);
		leftBehind = !(inV[0] == inV[1] && inV[1] == inV[2])
	}
}

init {
	atomic {
		inV[0] = 1; inV[1] = 1;
		serving[0] = true; serving[1] = true;
		run Coordinator(1, 0);
		run Coordinator(2, 1)
#ifdef THIRD
		; run Coordinator(3, 0)
#endif
	}
}

/* What is answered as accepted is in force at each process that ran all the time, */
ltl noFalseAnswer { [] !falselyAccepted }
/* and stays so until a later version is. */
ltl acceptedStays { [] (acceptedV == 0 || (RUNS(0, acceptedV, acceptedC) && RUNS(1, acceptedV, acceptedC))) }
/* A change replaces the one that it was made from. */
ltl overWhatWasRead { [] !overUnread }
/* In the end no process runs an older version than another one. */
ltl upToDate { [] !leftBehind }
