#!/usr/bin/env bash
# Checks one property of a model exhaustively with spin.
#
#   spec/check.sh MODEL PROPERTY EXPECT [DEFINES...]
#
# EXPECT is holds or fails. The script fails if the result differs, or if the
# search ran out of depth or memory.
set -euo pipefail
cd "$(dirname "$0")"
model=$PWD/$1 property=$2 expected=$3
shift 3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
spin "$@" -a -o2 "$model" >/dev/null
cc -O2 -DVECTORSZ=2048 -o pan pan.c 2>/dev/null
./pan -a -N "$property" -m200000 >out 2>&1 || true
errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' out)
states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out)
depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' out)
case $errors in
  0) result=holds ;;
  '') cat out; exit 1 ;;
  *) result=fails ;;
esac
if grep -q -E 'max search depth too small|out of memory' out; then result=incomplete; fi
printf '%-14s %-22s %-28s %s (%s states, depth %s)\n' "$(basename "$model")" "$property" "${*:-all safeguards}" "$result" "$states" "$depth"
[ "$result" = "$expected" ] || { echo "expected: $expected"; cat out; exit 1; }
