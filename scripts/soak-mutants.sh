#!/usr/bin/env bash
# Removes one safeguard at a time in a scratch copy and expects the soak test to fail
# within a few seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/mutant.sh

soak() { # soak NAME FILE PERL-SUBSTITUTION
  mutant "$1" "$2" "$3" platform/soak 'TestSoak$' -soak.seed=1 -soak.seeds=6 -soak.seconds=12
}

gateway=internal/gateway
soak once $gateway/call.go 's/if r\.mayHaveRun\(\) && \(!c\.rq\.route\.Repeats\(\) \|\| /if r.mayHaveRun() \&\& (/'
soak not-run $gateway/request.go 's/case !rq\.sent:/case !rq.sent || true:/'
soak whole $gateway/relay.go 's/whole := proof != unproven/whole := errors.Is(err, io.EOF) || true/'
soak last-event $gateway/stream.go 's/\ts\.lastEvent = id\n//'
soak instance platform/caller.go 's/\th\.Set\(headerInstance, a\.Upstream\)\n//'
soak second-signal internal/kernel/kernel.go 's/\twaitForEnd\(ctx, sigs\)\n/\twaitForEnd(ctx, sigs)\n\tsignal.Stop(sigs)\n/'
# A separate timer closes the connection even if a request was read in the meantime.
soak late-close internal/connlimit/connlimit.go 's/\tcase http\.StateActive:\n/\tcase http.StateActive:\n\t\tif t, ok := late.LoadAndDelete(c); ok {\n\t\t\tt.(*time.Timer).Stop()\n\t\t}\n/; s/\t\tc\.enter\(phaseIdle\)\n/\t\tc.enter(phaseIdle)\n\t\tif d := l.limits().Idle; d > 0 {\n\t\t\tlate.Store(c, time.AfterFunc(d, func() { _ = c.Close() }))\n\t\t}\n/; s/\ntype Limiter struct/\nvar late sync.Map\n\ntype Limiter struct/'
# The state of an upstream is kept by its name alone, or only a start with a later
# start time counts as a new incarnation.
soak start internal/fleet/starts.go 's/\tcase born != 0:\n/\tcase born != 0 \&\& false:\n/'
soak clock-back internal/fleet/starts.go 's/return r\.Version < other\.Version/return r.Born < other.Born/'
# An upstream with an unreadable row still receives requests.
soak spoilt-row internal/fleet/unreadable.go 's/return !m\.unreadable && /return /'

# The notices of an upstream in its answers (leaving, backoff) are ignored.
soak answer-leaving internal/gateway/notice.go 's/if n\.Leaving && g\.fleet\.AnsweredLeaving\(from\.ID\)/if false \&\& g.fleet.AnsweredLeaving(from.ID)/'
soak answer-rest internal/gateway/notice.go 's/if !n\.BackOffUntil\.IsZero\(\)/if false/'

finish
