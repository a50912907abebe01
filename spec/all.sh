#!/usr/bin/env bash
# all.sh: every model with all safeguards, where each property must hold, and
# with each safeguard removed, where the named property must fail. JOBS checks
# run at a time.
set -euo pipefail
cd "$(dirname "$0")"

checks=$(
  for property in atMostOnce notRun doneRan noLateRun; do echo "once.pml $property holds"; done
  for property in atMostOnce notRun doneRan; do echo "once.pml $property holds -DTICKET"; done
  for property in atMostOnce notRun doneRan; do echo "once.pml $property holds -DHOLE"; done
  for property in oneWinner acceptedHolds neverLower refusedNowhere oneAnswer; do echo "rollout.pml $property holds"; done
  for property in neverBack upToDate; do echo "epochs.pml $property holds"; done
  for property in noFalseAnswer acceptedStays upToDate; do echo "restored.pml $property holds"; done
  cat <<'LIST'
restored.pml overWhatWasRead holds -DTHIRD
once.pml atMostOnce holds -DNO_LOOK
once.pml notRun holds -DNO_LOOK
once.pml noLateRun holds -DHOLE -DFENCED
once.pml atMostOnce fails -DNO_RECORD
once.pml atMostOnce fails -DNO_AGE
once.pml atMostOnce fails -DNO_WAIT
once.pml atMostOnce fails -DTICKET -DNO_BOUND
once.pml notRun fails -DNO_TOMBSTONE
once.pml notRun fails -DTICKET -DNO_TOMBSTONE
once.pml noLateRun fails -DNO_LOOK
once.pml noLateRun fails -DHOLE
rollout.pml oneWinner fails -DNO_CONDITION
rollout.pml refusedNowhere fails -DNO_SETTLE
rollout.pml acceptedHolds fails -DNO_CONFIRM
rollout.pml neverLower fails -DNO_MONOTONE
rollout.pml acceptedHolds fails -DNO_RELIST
rollout.pml acceptedHolds fails -DNO_JOIN
rollout.pml acceptedHolds fails -DNO_SERVE
restored.pml noFalseAnswer fails -DNO_CHANGE
restored.pml acceptedStays fails -DNO_CHANGE
restored.pml upToDate fails -DNO_AHEAD
restored.pml overWhatWasRead fails -DTHIRD -DNO_VALUE
epochs.pml upToDate fails -DNO_EPOCH
epochs.pml upToDate fails -DNO_LIST
epochs.pml upToDate fails -DNO_LOG
epochs.pml neverBack fails -DNO_OWN
LIST
)
echo "$checks" | xargs -P "${JOBS:-4}" -L 1 ./check.sh
echo "spec: $(echo "$checks" | wc -l) checks ok"
