/*
 * Model of readers of a store that is restored from older backups of itself,
 * checked exhaustively by spin.
 *
 * The model follows one row. An operator writes it with increasing numbers, and
 * may or may not write it again after the store lost it. Writes of other rows also
 * consume versions. The store is backed up at any moment and restored up to twice,
 * in any order with all other steps. So versions are issued again, and the store
 * may issue fewer or more of them than the restore lost. A delegate follows the
 * store. Another entry reads from the delegate or from the store, whichever it
 * reaches, and may be killed and restarted.
 *
 * The parts of the model and the code that they stand for:
 *   Delegate   belief.Follower over the store; its log is relay.Log
 *   Entry      belief.Follower over relay.Store
 *   applyRow   belief.Routes.offer
 *
 * Safeguards; -DNO_<name> removes one:
 *   EPOCH      versions are compared only within one epoch
 *   FULL_READ  a reader that finds a later epoch reads the whole table before it
 *              applies changes of that epoch
 *   ROW_ORDER  the operator's number in a row decides which of two rows is newer
 *   LOG_RESET  the delegate's log starts anew with each epoch
 */

#define MAX_VERSION 3
#define MAX_NUMBER 2

byte storeVersion = 0, storeEpoch = 1, storeRow = 0, rowVersion = 0;
byte backupVersion = 0, backupRow = 0, backupRowVersion = 0;
byte latestNumber = 0; /* the operator's latest number for the row */
byte restores = 0, backups = 0;

/* The delegate's log, with the row as the delegate last read it. */
byte logEpoch = 0, logVersion = 0, logRow = 0, logRowVersion = 0;
bool logFilled = false;

bool rowReverted = false; /* an entry replaced a row by an older one */
bool staleRowConfirmed = false; /* an entry kept a row older than the source that confirmed it */

inline applyRow(inForce, newRow) {
#ifdef NO_ROW_ORDER
	if
	:: newRow < inForce -> rowReverted = true
	:: else -> skip
	fi;
	inForce = newRow
#else
	if
	:: newRow > inForce -> inForce = newRow
	:: else -> skip
	fi
#endif
}

inline checkConfirmed(inForce, newRow) {
	if
	:: inForce < newRow -> staleRowConfirmed = true
	:: else -> skip
	fi
}

active proctype Operator() {
end:	do
	:: atomic { latestNumber < MAX_NUMBER && storeVersion < MAX_VERSION ->
		latestNumber++; storeVersion++; storeRow = latestNumber; rowVersion = storeVersion }
	:: atomic { storeRow < latestNumber && storeVersion < MAX_VERSION ->
		storeVersion++; storeRow = latestNumber; rowVersion = storeVersion }
	:: atomic { storeVersion < MAX_VERSION -> storeVersion++ }
	od
}

active proctype Store() {
end:	do
	:: atomic { backups < 2 ->
		backups++; backupVersion = storeVersion; backupRow = storeRow; backupRowVersion = rowVersion }
	:: atomic { restores < 2 ->
		restores++; storeEpoch++;
		storeVersion = backupVersion; storeRow = backupRow; rowVersion = backupRowVersion }
	od
}

/* Reads the whole table. */
inline readTable(readEpoch, readVersion, inForce, synced, srcEpoch, srcVersion, srcRow) {
	readEpoch = srcEpoch;
#ifdef NO_EPOCH
	readVersion = (srcVersion > readVersion -> srcVersion : readVersion);
#else
	readVersion = srcVersion;
#endif
	applyRow(inForce, srcRow);
	synced = true;
	checkConfirmed(inForce, srcRow)
}

/* Reads the changes since the last version read. */
inline readChanges(readEpoch, readVersion, inForce, synced, srcEpoch, srcVersion, srcRow, srcRowVersion) {
	if
	:: readVersion > srcVersion -> synced = false
#ifndef NO_EPOCH
	:: readVersion <= srcVersion && srcEpoch != readEpoch ->
#ifdef NO_FULL_READ
		if
		:: srcRowVersion > readVersion -> applyRow(inForce, srcRow)
		:: else -> skip
		fi;
		readEpoch = srcEpoch;
		readVersion = srcVersion;
		checkConfirmed(inForce, srcRow)
#else
		synced = false
#endif
	:: readVersion <= srcVersion && srcEpoch == readEpoch ->
#else
	:: readVersion <= srcVersion ->
#endif
		if
		:: srcRowVersion > readVersion -> applyRow(inForce, srcRow)
		:: else -> skip
		fi;
		readVersion = srcVersion;
		checkConfirmed(inForce, srcRow)
	fi
}

inline updateLog() {
#ifdef NO_LOG_RESET
	logVersion = (storeVersion > logVersion -> storeVersion : logVersion);
	logRow = storeRow; logRowVersion = rowVersion; logFilled = true
#else
	logEpoch = storeEpoch; logVersion = storeVersion;
	logRow = storeRow; logRowVersion = rowVersion; logFilled = true
#endif
}

active proctype Delegate() {
	byte readEpoch = 0, readVersion = 0, inForce = 0;
	bool synced = false;
end:	do
	:: atomic { !synced ->
		readTable(readEpoch, readVersion, inForce, synced, storeEpoch, storeVersion, storeRow); updateLog() }
	:: atomic { synced ->
		readChanges(readEpoch, readVersion, inForce, synced, storeEpoch, storeVersion, storeRow, rowVersion);
		if
		:: synced -> updateLog()
		:: else -> skip
		fi }
	od
}

active proctype Entry() {
	byte readEpoch = 0, readVersion = 0, inForce = 0;
	bool synced = false;
end:	do
	:: atomic { !synced ->
		readTable(readEpoch, readVersion, inForce, synced, storeEpoch, storeVersion, storeRow) }
	:: atomic { synced ->
		readChanges(readEpoch, readVersion, inForce, synced, storeEpoch, storeVersion, storeRow, rowVersion) }
	:: atomic { !synced && logFilled && logEpoch >= readEpoch ->
		readTable(readEpoch, readVersion, inForce, synced, logEpoch, logVersion, logRow) }
	:: atomic { synced && logFilled && logEpoch >= readEpoch &&
		(readVersion <= logVersion || logEpoch > readEpoch) ->
		readChanges(readEpoch, readVersion, inForce, synced, logEpoch, logVersion, logRow, logRowVersion) }
	/* The entry is killed and restarts without state. */
	:: atomic { readEpoch = 0; readVersion = 0; inForce = 0; synced = false }
	od
}

ltl rowNeverReverts { [] !rowReverted }
ltl confirmedRowIsCurrent { [] !staleRowConfirmed }
