#!/usr/bin/env bash
# Plays the same days of an installation with the same seeds again and again, so
# that two versions of the product can be compared.
#
#   BENCH=path/to/bench scripts/days.sh SITE 'DAY ...' 'SEED ...' [WHY]
#
# prints a line for each day and seed, with what it lost by, then the mean worth of each
# day and of all. Broken rules are printed with the lines that tell of them. JOBS days are
# played at once; OPTIONS are passed on to the bench, as --small.
set -euo pipefail
site=$1 days=$2 seeds=$3 why=${4:-compare versions}
bench=${BENCH:?set BENCH to the bench program}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$bench" build >/dev/null
for day in $days; do
  for seed in $seeds; do printf '%s %s\n' "$day" "$seed"; done
done | xargs -P "${JOBS:-4}" -L 1 bash -c '"$0" run "$1" "$4" --seed "$5" --no-cpu ${OPTIONS:-} --why "$2" >"$3/$4-$5.txt" 2>&1 || true' "$bench" "$site" "$why" "$out"
for f in "$out"/*.txt; do
  name=$(basename "$f" .txt)
  grep -A1 '^day ' "$f" | tail -1 | sed "s/^[^ ]*/$name/"
  grep -A6 -h '^rules broken' "$f" || true
  awk -v name="$name" '
    /requests preempted/ { match($0, /[0-9]+ requests preempted/); p = substr($0, RSTART) + 0 }
    /prefilled for nothing/ { v = $2 }
    /worth refused again/ { r = $1 }
    / worst windows/ && /^worth/ { match($0, /worst windows [0-9.]+/); w = substr($0, RSTART + 14, RLENGTH - 14) }
    END { print "causes " name ": preempted " p + 0 ", 1,000 tokens in vain " v + 0 ", refused again " r + 0 ", windows " w + 0 }' "$f"
done | tee "$out/all"
awk '$2 ~ /^[0-9]+\/[0-9]+$/ {d=$1; sub(/-[0-9]+$/, "", d); n[d]++; w[d]+=$4; N++; W+=$4; S+=$5}
  /BROKEN/ {b++}
  $1 == "causes" {P += $4; V += $9; R += $12; X += $14}
  END {printf "causes per day   preempted %.1f, 1,000 tokens in vain %.1f, refused again %.4f, windows %.3f\n", P/N, V/N, R/N, X/N; for (d in n) printf "mean %-12s %.3f\n", d, w[d]/n[d]; printf "mean of all   %.3f  served %.3f  days %d  broken %d\n", W/N, S/N, N, b}' "$out/all" | sort
