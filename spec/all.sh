#!/usr/bin/env bash
# Checks every model with all safeguards, where each property must hold, and with
# each safeguard removed, where the named property must fail. JOBS checks run at
# a time, 4 by default.
set -euo pipefail
cd "$(dirname "$0")"

checks=$(
  for property in atMostOnce notRunImpliesNoRun doneImpliesRun noStaleRun; do echo "once.pml $property holds"; done
  for property in atMostOnce notRunImpliesNoRun doneImpliesRun; do echo "once.pml $property holds -DTICKET"; done
  for property in atMostOnce notRunImpliesNoRun doneImpliesRun; do echo "once.pml $property holds -DCHECK_GAP"; done
  for property in oneChangePerVersion acceptedInForce versionsNeverDecrease refusedNeverCommitted oneOutcome; do echo "rollout.pml $property holds"; done
  for property in rowNeverReverts confirmedRowIsCurrent; do echo "epochs.pml $property holds"; done
  for property in noFalseAcceptance acceptedStaysInForce processesConverge; do echo "restored.pml $property holds"; done
  cat <<'LIST'
restored.pml noBlindOverwrite holds -DTHREE_OPERATORS
once.pml atMostOnce holds -DNO_RECHECK
once.pml notRunImpliesNoRun holds -DNO_RECHECK
once.pml noStaleRun holds -DCHECK_GAP -DFENCED
once.pml atMostOnce fails -DNO_RECORD
once.pml atMostOnce fails -DNO_KEY_AGE
once.pml atMostOnce fails -DNO_LEASE_WAIT
once.pml atMostOnce fails -DTICKET -DNO_TICKET_BINDING
once.pml notRunImpliesNoRun fails -DNO_TOMBSTONE
once.pml notRunImpliesNoRun fails -DTICKET -DNO_TOMBSTONE
once.pml noStaleRun fails -DNO_RECHECK
once.pml noStaleRun fails -DCHECK_GAP
rollout.pml oneChangePerVersion fails -DNO_CONDITIONAL_WRITE
rollout.pml refusedNeverCommitted fails -DNO_COMMIT_LOOKUP
rollout.pml acceptedInForce fails -DNO_CONFIRM
rollout.pml versionsNeverDecrease fails -DNO_MONOTONE
rollout.pml acceptedInForce fails -DNO_RELIST
rollout.pml acceptedInForce fails -DNO_LIST_FIRST
rollout.pml acceptedInForce fails -DNO_READINESS
restored.pml noFalseAcceptance fails -DNO_CHANGE_CHECK
restored.pml acceptedStaysInForce fails -DNO_CHANGE_CHECK
restored.pml processesConverge fails -DNO_HEAD_REWRITE
restored.pml noBlindOverwrite fails -DTHREE_OPERATORS -DNO_VALUE_CHECK
epochs.pml confirmedRowIsCurrent fails -DNO_EPOCH
epochs.pml confirmedRowIsCurrent fails -DNO_FULL_READ
epochs.pml confirmedRowIsCurrent fails -DNO_LOG_RESET
epochs.pml rowNeverReverts fails -DNO_ROW_ORDER
LIST
)
echo "$checks" | xargs -P "${JOBS:-4}" -L 1 ./check.sh
echo "spec: $(echo "$checks" | wc -l) checks ok"
