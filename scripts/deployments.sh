#!/usr/bin/env bash
# Derives three deployments from a site file and runs benchmark days on them, to check that
# the gateway is not tuned to the existing deployments. "few" has half the engines and half
# the generations, "slow" has slower engines with twice the memory and longer latency targets,
# "shared" has long prompt prefixes that requests share.
#
#   BENCH=path/to/bench scripts/deployments.sh SITE 'DAY ...' 'SEED ...'
#
# Prints the mean worth (the score of the bench) and the refused share of each deployment and
# day, and any broken rule. JOBS days run in parallel.
set -euo pipefail
site=$1 days=$2 seeds=$3
bench=${BENCH:?set BENCH to the bench program}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
cp "$(dirname "$site")/wire.json" "$out/"

# make_site NAME SED-SCRIPT writes the site file of a derived deployment.
make_site() { sed -e "0,/^name = .*/s//name = \"made-$1\"/" -e "$2" "$site" >"$out/$1.toml"; }

make_site few '/class = "side"/s/count = 6/count = 3/; /model = "llm"/s/count = 6/count = 3/g
  s/grid-draft = 6.91, clue-check = 9.69/grid-draft = 3.4, clue-check = 4.8/
  s/per_s = 18.8/per_s = 16.2/; s/per_s = 15.0/per_s = 13/; s/per_s = 19.9/per_s = 17.1/'
make_site slow 's/step_ms = 7.0/step_ms = 14.0/; s/prefill_tokens_per_ms = 14.0/prefill_tokens_per_ms = 9.0/; s/kv_tokens = 34287/kv_tokens = 70000/
  s/aim_ms = 1800.0/aim_ms = 4000.0/; s/aim_ms = 1500.0/aim_ms = 3000.0/; s/gap_aim_ms = 180.0/gap_aim_ms = 400.0/g'
make_site shared 's/mean = 47.5, spread = 0.4, max = 76.0/mean = 1400.0, spread = 0.3, max = 2000.0/
  s/mean = 210.0, spread = 0.4, max = 336.0/mean = 900.0, spread = 0.3, max = 1400.0/'

"$bench" build >/dev/null
for name in few slow shared; do
  if cmp -s "$site" "$out/$name.toml"; then
    echo "$name: the substitutions do not match the site file" >&2
    exit 1
  fi
  for day in $days; do
    for seed in $seeds; do printf '%s %s %s\n' "$name" "$day" "$seed"; done
  done
done | xargs -P "${JOBS:-4}" -L 1 bash -c '"$0" run "$1/$2.toml" "$3" --seed "$4" --no-cpu --why "made-up deployment $2" >"$1/$2+$3+$4.txt" 2>&1 || true' "$bench" "$out"
for f in "$out"/*+*.txt; do
  name=$(basename "$f" .txt)
  grep -A1 '^day ' "$f" | tail -1 | sed "s/^[^ ]*/${name%+*}/"
  grep -A4 -h '^rules broken' "$f" || true
done | awk '/^rules broken/ {print; next} $2 ~ /^[0-9]+\/[0-9]+$/ {runs[$1]++; worth[$1] += $4; refused[$1] += $6} END {for (k in runs) printf "%-20s worth %.3f  refused %.3f\n", k, worth[k] / runs[k], refused[k] / runs[k]}' | sort
