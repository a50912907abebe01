#!/usr/bin/env bash
# all.sh: every model with all safeguards, where each property must hold, and
# with each safeguard removed, where the named property must fail.
set -euo pipefail
cd "$(dirname "$0")"

for property in atMostOnce notRun doneRan noLateRun; do ./check.sh once.pml $property holds; done
for property in atMostOnce notRun doneRan; do ./check.sh once.pml $property holds -DTICKET; done
for property in atMostOnce notRun doneRan; do ./check.sh once.pml $property holds -DHOLE; done
./check.sh once.pml atMostOnce holds -DNO_LOOK
./check.sh once.pml notRun holds -DNO_LOOK

./check.sh once.pml atMostOnce fails -DNO_RECORD
./check.sh once.pml atMostOnce fails -DNO_AGE
./check.sh once.pml atMostOnce fails -DNO_WAIT
./check.sh once.pml atMostOnce fails -DTICKET -DNO_BOUND
./check.sh once.pml notRun fails -DNO_TOMBSTONE
./check.sh once.pml notRun fails -DTICKET -DNO_TOMBSTONE
./check.sh once.pml noLateRun fails -DNO_LOOK
./check.sh once.pml noLateRun fails -DHOLE
./check.sh once.pml noLateRun holds -DHOLE -DFENCED
echo "spec: ok"
