# Prints the quiet day of a site file with the engine traffic multiplied by a factor.
#
#   awk -v x=LOAD -v extra=FAULTS -f scripts/loadday.awk SITE
#
# FAULTS holds entries for the fault list of the day.
BEGIN { print "name = \"load-" x "\"" }
/^  \{ name = / && /kind = "stream"/ { name = $4; gsub(/[",]/, "", name); is_stream[name] = 1 }
/^\[\[day\]\]/ { in_quiet_day = 0; day_begins = 1; next }
day_begins && /^name = / { day_begins = 0; in_quiet_day = ($3 == "\"quiet-1\"") }
!in_quiet_day || /^(name|one|zero|goal|floor_classes|floor_zones|labels|wall|light) = / { next }
/^faults = \[\]/ { print "faults = [ " extra " ]"; next }
/mix = \{/ {
  match($0, /mix = \{[^}]*\}/)
  mix = substr($0, RSTART + 7, RLENGTH - 8)
  n = split(mix, parts, ",")
  total_before = total_after = 0; rates = ""
  for (i = 1; i <= n; i++) {
    split(parts[i], kv, "="); gsub(/ /, "", kv[1]); rate = kv[2] + 0
    total_before += rate
    if (kv[1] in is_stream) rate *= x
    total_after += rate
    rates = rates (i > 1 ? ", " : "") kv[1] " = " rate
  }
  head = substr($0, 1, RSTART - 1); tail = substr($0, RSTART + RLENGTH)
  match(tail, /per_s = [0-9.]+/)
  per_second = substr(tail, RSTART + 8, RLENGTH - 8) * total_after / total_before
  print head "mix = { " rates " }" substr(tail, 1, RSTART - 1) "per_s = " per_second substr(tail, RSTART + RLENGTH)
  next
}
{ print }
