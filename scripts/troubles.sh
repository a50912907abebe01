#!/usr/bin/env bash
# Runs a benchmark day for each kind of fault or planned event, alone (early, twice, and just
# before the final fault) or in pairs, and prints a table of worth and broken rules.
#
#   BENCH=path/to/bench scripts/troubles.sh SITE [alone|pairs] [SEED]
#
# JOBS days run in parallel. KINDS, if set, selects kinds by name from the list below. Days
# that broke a rule, or in which a process ended by itself, are listed again at the end,
# with the folder that keeps their files.
set -euo pipefail
site=$1 mode=${2:-alone} seed=${3:-1}
bench=${BENCH:?set BENCH to the bench program}
out=$(mktemp -d)

# Each line is name|plan or faults|fields of the entry, without its time.
kinds='burst|faults|kind = "burst", x = 2.0, for_s = 4.0
shift|faults|kind = "shift", share = 0.5, for_s = 6.0
hotkey|faults|kind = "hot_key", share = 0.4, for_s = 6.0
abuse|faults|kind = "retry_abuse", x = 3.0, share = 0.3, for_s = 5.0
giveup|faults|kind = "give_up", share = 0.3, for_s = 5.0
crash|faults|kind = "srv_crash", share = 0.2, for_s = 4.0
dark|faults|kind = "srv_crash", share = 0.2, for_s = 4.0, how = "dark"
crashgone|faults|kind = "srv_crash", share = 0.2, for_s = 4.0, how = "gone"
grey|faults|kind = "srv_grey", share = 0.25, x = 0.5, for_s = 6.0, how = "errors"
greyhang|faults|kind = "srv_grey", share = 0.25, x = 0.3, for_s = 6.0, how = "hang"
greyreset|faults|kind = "srv_grey", share = 0.25, x = 0.3, for_s = 6.0, how = "reset"
greymute|faults|kind = "srv_grey", share = 0.25, x = 0.3, for_s = 6.0, how = "mute"
greybusy|faults|kind = "srv_grey", share = 0.25, x = 0.5, for_s = 6.0, how = "busy"
greyslow|faults|kind = "srv_grey", share = 0.25, x = 8.0, for_s = 6.0, how = "slow"
release|plan|kind = "release", share = 0.5, x = 1.0, gap_s = 1.0
scaleout|plan|kind = "scale_out", share = 0.3, gap_s = 2.0
scalein|plan|kind = "scale_in", share = 0.2
reclaim|plan|kind = "scale_in", share = 0.2, how = "reclaim", x = 2.0
lost|faults|kind = "answer_lost", share = 0.5, x = 0.05, for_s = 5.0
lostreset|faults|kind = "answer_lost", share = 0.5, x = 0.05, for_s = 5.0, how = "reset"
garble|faults|kind = "garble", share = 0.5, x = 0.04, for_s = 5.0
garbleextra|faults|kind = "garble", share = 0.6, x = 0.05, for_s = 5.0, how = "extra late"
garbleunframed|faults|kind = "garble", share = 0.5, x = 0.05, for_s = 5.0, how = "unframed"
garbleearly|faults|kind = "garble", share = 0.5, x = 0.05, for_s = 5.0, how = "early"
kill|faults|kind = "node_kill", share = 0.3, for_s = 3.0
killpower|faults|kind = "node_kill", share = 0.3, for_s = 3.0, how = "power"
killleader|faults|kind = "node_kill", on = "core", count = 1, how = "leader race drain"
freeze|faults|kind = "node_freeze", share = 0.3, for_s = 4.0
slow|faults|kind = "node_slow", share = 0.3, x = 5.0, for_s = 5.0
rollterm|plan|kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.2
rollbusy|plan|kind = "roll_term", how = "busy", gap_s = 1.0
rollremove|plan|kind = "roll_term", share = 0.3, how = "remove", gap_s = 1.5
herd|faults|kind = "herd_kill", share = 0.6, for_s = 2.0
herdpower|faults|kind = "herd_kill", share = 0.6, for_s = 2.0, how = "power"
addnodes|plan|kind = "add_nodes", share = 1.0
ackkill|faults|kind = "after_ack_kill", for_s = 3.0
clockback|faults|kind = "clock_step", share = 0.4, x = 2500.0, for_s = 6.0, how = "back"
clockahead|faults|kind = "clock_step", share = 0.4, x = 2500.0, for_s = 6.0, how = "ahead"
hup|plan|kind = "hup", share = 1.0, gap_s = 2.0
corecut|faults|kind = "core_cut", count = 1, for_s = 8.0, how = "revoke meet"
corecutoneway|faults|kind = "core_cut", count = 2, for_s = 8.0, how = "one_way"
nodecut|faults|kind = "node_cut", share = 0.3, for_s = 8.0, how = "revoke"
nodecutall|faults|kind = "node_cut", share = 0.3, for_s = 6.0, how = "all"
lossy|faults|kind = "lossy", x = 0.04, for_s = 6.0
down|faults|kind = "platform_down", for_s = 8.0, how = "silent"
downbusy|faults|kind = "platform_down", for_s = 8.0, how = "busy lapse"
downreset|faults|kind = "platform_down", for_s = 4.0, how = "reset lapse"
turned|faults|kind = "platform_down", how = "nodes silent revoke meet", share = 0.5, for_s = 9.0
turnedmany|faults|kind = "platform_down", how = "nodes many revoke", share = 0.5, for_s = 9.0
storeslow|faults|kind = "platform_slow", x = 80.0, for_s = 6.0
storelost|faults|kind = "platform_lost", x = 0.4, for_s = 6.0, how = "late"
compact|faults|kind = "platform_compact", x = 4.0, for_s = 8.0, how = "drain"
change|plan|kind = "config_change", how = "route"
weights|plan|kind = "config_change", how = "weights"
storm|plan|kind = "config_storm", for_s = 5.0
bigconfig|plan|kind = "big_config", count = 350
revoke|plan|kind = "revoke", count = 3, gap_s = 0.5
revokelast|plan|kind = "revoke", count = 2, gap_s = 0.5, how = "last"
srvslow|faults|kind = "srv_slow", share = 0.25, x = 4.0, for_s = 6.0
srvcut|faults|kind = "srv_cut", share = 0.25, for_s = 5.0
srvcutfronts|faults|kind = "srv_cut", share = 0.25, for_s = 5.0, how = "fronts"
srvcutsome|faults|kind = "srv_cut", share = 0.25, for_s = 5.0, how = "some"
reuse|faults|kind = "replace_with_reuse", share = 0.2
reusedrain|faults|kind = "replace_with_reuse", share = 0.2, how = "drain"
reusedark|faults|kind = "replace_with_reuse", share = 0.2, how = "dark"
reset|faults|kind = "reset_conns", share = 0.3, x = 0.5
lying|faults|kind = "srv_lying_health", share = 0.3, for_s = 8.0
flap|faults|kind = "srv_flap", share = 0.2, for_s = 8.0
coldreturn|faults|kind = "cold_return", for_s = 4.5
closed|plan|kind = "evacuate", for_s = 8.0
closedwarm|plan|kind = "evacuate", for_s = 8.0, how = "warm"
zoneloss|faults|kind = "zone_loss"
zonecut|faults|kind = "zone_cut", for_s = 6.0'

# write_day NAME CLOSING ENTRY... writes a day; an entry is "section|at = ..., fields".
write_day() {
  local name=$1 closing=$2 section entry
  shift 2
  {
    printf 'name = "%s"\nslot = "trouble"\nseed = %s\n' "$name" "$seed"
    [ -z "$closing" ] || printf 'closing = { kind = "%s", down_s = 1.2 }\n' "$closing"
    for section in plan faults; do
      printf '%s = [\n' "$section"
      for entry in "$@"; do
        [ "${entry%%|*}" != "$section" ] || printf '  { %s },\n' "${entry#*|}"
      done
      printf ']\n'
    done
  } >"$out/$name.toml"
}

while IFS='|' read -r name section fields; do
  [[ -z "${KINDS:-}" || " $KINDS " == *" $name "* ]] || continue
  if [ "$mode" = alone ]; then
    write_day "$name-early" "" "$section|at = 1.0, $fields"
    write_day "$name-twice" "" "$section|at = 8.0, $fields" "$section|at = 20.0, $fields"
    write_day "$name-final" kill_all "$section|at = 30.0, $fields"
    continue
  fi
  # The seed selects two other kinds to pair with each kind.
  for k in 1 2; do
    IFS='|' read -r other other_section other_fields < <(awk -v s="$seed$name$k" 'BEGIN {for (i = 1; i <= length(s); i++) h = (h * 31 + index("0123456789abcdefghijklmnopqrstuvwxyz", substr(s, i, 1))) % 99991} {a[NR] = $0} END {print a[h % NR + 1]}' <<<"$kinds")
    write_day "$name+$other" power_off_all "$section|at = 6.0, $fields" "$other_section|at = 7.0, $other_fields" "$section|at = 24.0, $fields" "$other_section|at = 27.0, $other_fields"
  done
done <<<"$kinds"

"$bench" build >/dev/null
find "$out" -name '*.toml' | sort | xargs -P "${JOBS:-4}" -I{} bash -c '"$0" run "$1" "$2" --why "a day of each trouble" >"${2%.toml}.txt" 2>&1 || true' "$bench" "$site" {}
for f in "$out"/*.txt; do
  grep -A1 '^day ' "$f" | tail -1 || { printf '%s: no result: ' "$(basename "$f" .txt)"; tail -1 "$f"; }
done | cut -c1-150
echo "days with broken rules or faults, in $out:"
grep -l -E '^rules broken|^fault|FAULT' "$out"/*.txt || echo none
