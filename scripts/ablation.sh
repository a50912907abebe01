#!/usr/bin/env bash
# Disables one mechanism of the gateway at a time in a scratch copy of the sources and runs
# the same benchmark days with the same seeds. Prints the mean worth (the score of the bench)
# of each day with all mechanisms, and the difference without each of them.
#
#   BENCH=path/to/bench scripts/ablation.sh 'SEED ...' 'DAY ...' SITE... [-- NAME...]
#
# DAY is the name of a day of the site, or one of load2, roll, lossy, grey and silent, which
# this script generates. NAME limits the ablation to the named mechanisms. JOBS days run in
# parallel; processor time does not count. JOURNAL names a folder that receives the journal
# entries of the runs.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=$1 days=$2
shift 2
sites=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do sites+=("$1"); shift; done
[ $# -eq 0 ] || shift
only=("$@")
bench=${BENCH:?set BENCH to the bench program}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# day_file DAY SITE prints the path of a generated day, or the name of a day of the site.
day_file() {
  local file=$scratch/$1-$(basename "$2" .toml).toml head="name = \"$1\"\nslot = \"trouble\"\nseed = 7"
  case $1 in
    load2) awk -v x=2 -v extra= -f scripts/loadday.awk "$2" >"$file" ;;
    roll) printf "$head\nfaults = []\nplan = [ { at = 3.0, kind = \"roll_term\", how = \"busy\", share = 1.0, gap_s = 1.0 } ]\n" >"$file" ;;
    lossy) printf "$head\nplan = []\nfaults = [ { at = 8.0, kind = \"lossy\", x = 0.04, for_s = 6.0 }, { at = 20.0, kind = \"lossy\", x = 0.04, for_s = 6.0 } ]\n" >"$file" ;;
    grey) printf "$head\nplan = []\nfaults = [ { at = 5.0, kind = \"srv_grey\", share = 0.2, x = 0.5, for_s = 6.0, how = \"errors across\" }, { at = 20.0, kind = \"srv_grey\", share = 0.2, x = 0.5, for_s = 6.0, how = \"hang across\" } ]\n" >"$file" ;;
    silent) printf "$head\nplan = []\nfaults = [ { at = 6.0, kind = \"platform_down\", for_s = 8.0, how = \"silent\" }, { at = 22.0, kind = \"platform_down\", for_s = 8.0, how = \"nodes silent\", share = 0.5 } ]\n" >"$file" ;;
    *) file=$1 ;;
  esac
  echo "$file"
}

# reset_tree replaces the scratch tree by a fresh copy of the sources.
reset_tree() {
  rm -rf "$scratch/tree"
  mkdir "$scratch/tree"
  cp -r go.mod go.sum internal platform cmd deploy "$scratch/tree/"
}

# run_days NAME runs all days of all sites in the scratch tree; results go to $scratch/NAME.
run_days() {
  local name=$1 site day seed
  (cd "$scratch/tree" && git init -q . && mkdir -p journal && "$bench" build >/dev/null)
  for site in "${sites[@]}"; do
    for day in $days; do
      for seed in $seeds; do printf '%s %s %s %s\n' "$site" "$(day_file "$day" "$site")" "$day" "$seed"; done
    done
  done >"$scratch/runs"
  mkdir -p "$scratch/$name"
  (cd "$scratch/tree" && xargs -P "${JOBS:-4}" -L 1 bash -c '"$0" run "$3" "$4" --seed "$6" --no-cpu --why "$2" >"$1/$(basename "$3" .toml)+$5+$6.txt" 2>&1 || true' "$bench" "$scratch/$name" "ablation-$name" <"$scratch/runs")
  [ -z "${JOURNAL:-}" ] || cp -rn "$scratch/tree/journal/." "$JOURNAL/" || true
  for f in "$scratch/$name"/*.txt; do
    printf '%s ' "$(basename "$f" .txt)"
    grep -A1 '^day ' "$f" | tail -1 | awk '{printf "%s ", $4}'
    if grep -q '^rules broken' "$f"; then grep '^rules broken' "$f"; else echo; fi
  done >"$scratch/$name.rows"
}

# report NAME prints one line per site: the difference to the run with all mechanisms.
report() {
  awk -v name="$1" '
    FNR == NR { base[$1] = $2; next }
    $2 ~ /^[0-9.-]+$/ { split($1, k, "+"); site = k[1]; day = k[2]; delta = $2 - base[$1]; runs[site]++; sum[site] += delta; day_runs[site, day]++; day_sum[site, day] += delta; if (!((site, day) in seen)) { seen[site, day] = 1; days[site] = days[site] " " day } }
    / rules broken/ { broken[$1] = $0 }
    END {
      for (site in runs) {
        printf "%-18s %-22s %+.3f  ", name, site, sum[site] / runs[site]
        m = split(days[site], list, " ")
        for (i = 1; i <= m; i++) printf " %s %+.3f", list[i], day_sum[site, list[i]] / day_runs[site, list[i]]
        print ""
      }
      for (run in broken) print name ": " broken[run]
    }' "$scratch/all.rows" "$scratch/$1.rows"
}

reset_tree
run_days all
awk '$2 ~ /^[0-9.-]+$/ { split($1, k, "+"); runs[k[1] " " k[2]]++; worth[k[1] " " k[2]] += $2 } END { for (d in runs) printf "all mechanisms     %-32s %.3f\n", d, worth[d] / runs[d] }' "$scratch/all.rows" | sort

# off NAME FILE PERL-SUBSTITUTION [FILE PERL-SUBSTITUTION...] measures without a mechanism.
off() {
  local name=$1
  shift
  [ ${#only[@]} -eq 0 ] || [[ " ${only[*]} " == *" $name "* ]] || return 0
  reset_tree
  while [ $# -gt 0 ]; do
    perl -0pi -e "$2" "$scratch/tree/$1"
    if cmp -s "$1" "$scratch/tree/$1"; then
      echo "$name: the change no longer applies to $1" >&2
      exit 1
    fi
    shift 2
  done
  run_days "$name"
  report "$name"
}

gateway=internal/gateway
off moves $gateway/move.go 's/if g\.moving\[upstream\] \|\|/if true || g.moving[upstream] ||/'
off draw-of-targets $gateway/move.go 's/return room \* room/return 1/'
off near-targets $gateway/move.go 's/if u\.Zone != from\.Zone \{/if true {/'
off second-copy $gateway/move.go 's/s\.copies = append\(s\.copies, heldCopy/_ = append(s.copies, heldCopy/'
off release-of-copies $gateway/move.go 's/(func \(g \*Gateway\) release\([^\n]*\{\n)/$1\treturn\n/'
off lent-retries internal/routing/window.go 's/privateFraction = 0\.2/privateFraction = 1.0/; s/&& !w\.borrow\(own, reserve\)//; s/(func \(w \*SharedBudget\) borrow)/func (w *SharedBudget) unused() { _ = w.borrow }\n\n$1/'
off wait-for-retry $gateway/continue.go 's/resumeWait = 2 \* time\.Second/resumeWait = time.Millisecond/'
off hedges $gateway/call.go 's/(func \(c \*callRun\) hedge\(ctx context\.Context\) \{\n)/$1\tif c != nil {\n\t\treturn\n\t}\n/'
off suspects internal/fleet/set.go 's/return !u\.faultAt\.IsZero\(\) &&/return false \&\&/'
off told-faults internal/fleet/health.go 's/if !m\.localFaultAt\.IsZero\(\) &&/if false \&\&/'
off late-start-is-fault $gateway/attempt.go 's/if !crowded \{\n\t\tg\.faulty\(upstream\)\n\t\}/_ = crowded/'
off failing-plain internal/fleet/failing.go 's/if n < minFailures \|\|/if true ||/'
off failure-rate $gateway/choose.go 's/failureCost = 4\.0/failureCost = 0.0/; s/engineFailureTokens = 30000\.0/engineFailureTokens = 0.0/'
off zone $gateway/choose.go 's/otherZoneCost = 1\.0/otherZoneCost = 0.0/; s/engineZoneTokens = 3000\.0/engineZoneTokens = 0.0/'
off cold $gateway/choose.go 's/engineColdTokens\s+= 6000\.0/engineColdTokens = 0.0/'
off prompts-weigh $gateway/choose.go 's/prefillWeight = 4\.0/prefillWeight = 0.0/'
off overflow-weighs $gateway/choose.go 's/overflowWeight = 20\.0/overflowWeight = 0.0/'
off admission $gateway/admission.go 's/(reserve float64\) error \{\n)/$1\tif true {\n\t\treturn nil\n\t}\n/'
off reserve $gateway/admission.go 's/memoryUse\*\(1-reserve\)/memoryUse/'
off growth $gateway/admission.go 's/ - growth\(load, d\.output\)//'
off brief $gateway/admission.go 's/if d\.brief \{/if false {/'
off prompts-bound $gateway/admission.go 's/if d\.startBy > 0 && load\.Prefill > 0/if false \&\& load.Prefill > 0/'
off overload-age $gateway/overload.go 's/max\(now\.Sub\(o\.since\), backLeast\)/backLeast/'
off open-in-stops internal/daemon/gatewayhttp.go 's/for now := time\.Now\(\); now\.Before\(notAfter\)/for now := time.Now(); now.Before(notBefore)/'
off back-after-stop $gateway/stop.go 's/s := g\.stops\(\)\n/s := g.stops()\n\tif s.firstStop.IsZero() || true {\n\t\treturn stoppingRetryDelay\n\t}\n/'
off soft-keys deploy/system.toml 's/KEY_BOUND_HARD = "[^"]*"/KEY_BOUND_HARD = "true"/'
off relayed-tables internal/relay/store.go 's/if p, ok, self = s\.source\(\); !ok \{/if p, ok, self = s.source(); !ok || true {/'
off asked-engines internal/daemon/gatewaystore.go 's/if _, ok := b\.upstreamsFollower\.Settled\(\); !ok \{/if _, ok := b.upstreamsFollower.Settled(); !ok \&\& false {/'
off second-list internal/directory/directory.go 's/if n == 0 \{/if n < 0 {/'
off growing-pauses internal/daemon/gateway.go 's/followBatchDelayMax = 200/followBatchDelayMax = 40/'
