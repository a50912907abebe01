# Prints the quiet day of a site file with the traffic of the engines multiplied.
#
#   awk -v x=LOAD -v extra=FAULTS -f scripts/loadday.awk SITE
#
# FAULTS are entries for the list of faults of the day.
BEGIN { print "name = \"load-" x "\"" }
/^  \{ name = / && /kind = "stream"/ { name = $4; gsub(/[",]/, "", name); engine[name] = 1 }
/^\[\[day\]\]/ { inside = 0; fresh = 1; next }
fresh && /^name = / { fresh = 0; inside = ($3 == "\"quiet-1\"") }
!inside || /^(name|one|zero|goal|floor_classes|floor_zones|labels|wall|light) = / { next }
/^faults = \[\]/ { print "faults = [ " extra " ]"; next }
/mix = \{/ {
  match($0, /mix = \{[^}]*\}/)
  mix = substr($0, RSTART + 7, RLENGTH - 8)
  n = split(mix, parts, ",")
  before = after = 0; text = ""
  for (i = 1; i <= n; i++) {
    split(parts[i], kv, "="); gsub(/ /, "", kv[1]); rate = kv[2] + 0
    before += rate
    if (kv[1] in engine) rate *= x
    after += rate
    text = text (i > 1 ? ", " : "") kv[1] " = " rate
  }
  head = substr($0, 1, RSTART - 1); tail = substr($0, RSTART + RLENGTH)
  match(tail, /per_s = [0-9.]+/)
  per = substr(tail, RSTART + 8, RLENGTH - 8) * after / before
  print head "mix = { " text " }" substr(tail, 1, RSTART - 1) "per_s = " per substr(tail, RSTART + RLENGTH)
  next
}
{ print }
