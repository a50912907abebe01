#!/usr/bin/env bash
# Removes one safeguard at a time in a scratch copy and expects the named tests
# to fail. A safeguard that can be removed without a failing test is not covered.
set -euo pipefail
cd "$(dirname "$0")/.."

. scripts/mutant.sh

calls=internal/sidecar/calls.go
mutant call-record internal/sidecar/callbook.go 's/if !ok \{\n\t\tc = &call\{state: callStarted/if !ok || ok {\n\t\tc = &call{state: callStarted/' internal/sidecar TestSecondCopyOfACall
mutant call-age $calls 's/case issued\.Before\(exclusiveSince\.Add\(s\.settings\.Skew\)\):/case false:/' internal/sidecar TestIncarnationRunsOnlyKeys
mutant call-lease $calls 's/if !s\.lease\.Valid\(\) \{\n\t\treturn unknown/if false {\n\t\treturn unknown/' internal/sidecar TestSettleWithoutLease
mutant call-last-look $calls 's/if !id\.IsTicket\(\) && !s\.lease\.Valid\(\)/if false/' internal/sidecar TestDeadlineAndLease
mutant call-deadline $calls 's/if p\.StartBy > 0 && s\.now/if false && s.now/' internal/sidecar TestDeadlineAndLease
mutant call-ticket-bound $calls 's/ \|\| id\.Incarnation\(\) != s\.identity\.Incarnation\(\)//' internal/sidecar TestIncarnationRunsOnlyKeys
mutant settle-tombstone internal/sidecar/callbook.go 's/c = &call\{state: callTombstone, expiresAt[^\n]*\n\t\tr\.calls\[id\] = c/c = &call{state: callTombstone}/' internal/sidecar TestSettleBars
mutant stream-generation internal/sidecar/client.go 's/ \|\| n\.Generation != s\.generation//' internal/sidecar TestDeliveryOver
mutant stream-offset internal/sidecar/client.go 's/ \|\| n\.First != expected/ || expected < 0/' internal/sidecar TestDeliveryOver
mutant stream-end-sent internal/sidecar/generation.go 's/return d\.endSent && /return g.end != nil \&\& /' internal/sidecar TestLastChoiceIsAcknowledgedBeforeTheEnd

mutant lease-wait internal/lease/lease.go 's/now\.Before\(freeAt\)/false/' internal/lease TestSuccessor
mutant drain-refuses internal/sidecar/server.go 's/case s\.draining\.Load\(\):/case false:/; s/if s\.draining\.Load\(\) \{\n\t\ts\.inFlight/if false {\n\t\ts.inFlight/' internal/sidecar TestDrainedSidecar

store=internal/rollout/store.go
mutant rollout-monotone $store "s/if config\.MarkOf\(h\.Version, h\.Accepted\) <= s\.active\.Mark\(\) \{/if h.Version < 0 {/; s/if config\.MarkOf\(h\.Version, h\.Accepted\) <= s\.Mark\(\) \{/if h.Version < 0 {/" internal/rollout TestVersionNever
mutant rollout-base internal/rollout/coordinator.go "s/if h\.Version != ch\.Base \{/if false {/" internal/rollout TestChangeFromAnOlder
mutant rollout-settle internal/rollout/coordinator.go "s/if out, done := c\.resolveUnknownCommit\(ctx, next\); !done \{\n\t\t\treturn out\n\t\t\}/return refused(next.Version, \"lost\")/" internal/rollout "TestLostReply"
mutant rollout-confirm internal/rollout/coordinator.go "s/if len\(missing\) > 0 \{\n\t\treturn Outcome\{state: Committed/if len(missing) > 99 {\n\t\treturn Outcome{state: Committed/" internal/rollout TestChangeUnconfirmed
mutant sidecar-behind internal/sidecar/server.go "s/if v <= s\.active\(\)\.Version\(\) \{/if v > -1 {/" internal/sidecar TestRequestOfANewerConfigurationIsNotServed

gateway=internal/gateway
placement=internal/placement
mutant gateway-once $gateway/call.go 's/if r\.mayHaveRun\(\) && \(!c\.rq\.route\.Repeats\(\) \|\| /if r.mayHaveRun() \&\& (/' $gateway TestPlainCall
mutant gateway-keys $gateway/request.go 's/if !rq\.tableTrusted && \(!ok \|\| g\.settings\.HardKeyBound\)/if !rq.tableTrusted \&\& !ok/' $gateway TestUnconfirmedKeyIsRefusedBeforeBody
mutant gateway-unknown-keys $gateway/request.go 's/if !rq\.tableTrusted && \(!ok \|\| g\.settings\.HardKeyBound\)/if !rq.tableTrusted \&\& g.settings.HardKeyBound/' $gateway TestKeyCheckByAgeOfRouteTable
mutant relay-silent-store internal/relay/store.go 's/deadline\.Sub\(s\.now\(\)\)\/2/deadline.Sub(s.now())/' internal/relay TestListFromPeerWhenStoreDoesNotAnswer
mutant gateway-torn $gateway/eventreader.go 's/if n := e\.wholeEvents\(\); n > 0/if n := e.end - e.start; n > 0/' $gateway TestBrokenStream
mutant gateway-whole $gateway/relay.go 's/whole := proof != unproven/whole := errors.Is(err, io.EOF) || true/' $gateway TestBrokenStream
mutant gateway-unframed-restart $gateway/relay.go 's/return s\.g\.proveEnd\(ctx, s\.rq\.service, st\.at, answer\)/return provenByHealth/' $gateway TestUnframedStreamOfARestartedEngine
mutant gateway-unframed-torn $gateway/relay.go 's/errors\.Is\(err, io\.EOF\) && len\(rest\) == 0 \{/errors.Is(err, io.EOF) {/' $gateway TestUnframedStreamIsTakenForABrokenOne
mutant gateway-unframed-stopped $gateway/relay.go 's/if stopped \{/if stopped \&\& false {/' $gateway TestUnframedStreamThatIsMoved
mutant gateway-end-report $gateway/endcheck.go 's/state\.StartedAt == u\.Born/state.StartedAt != 1/' $gateway TestUnframedStreamOfARestartedEngine
mutant gateway-end-report-other $gateway/endcheck.go 's/case errors\.Is\(err, errOtherIncarnation\):/case false:/' $gateway TestUnframedStreamOfARestartedEngine
mutant gateway-cut-call $gateway/endcheck.go 's/if a\.Framed \{/if a.Framed || true {/' $gateway TestCutAnswerIsTakenForAWholeOne
mutant gateway-end-named $gateway/endcheck.go 's/case id\.Name == "":/case false:/' $gateway TestCutAnswerIsTakenForAWholeOne
mutant gateway-end-other $gateway/endcheck.go 's/case id\.Other \|\| /case /' $gateway TestCutAnswerIsTakenForAWholeOne
mutant gateway-end-born $gateway/endcheck.go 's/ \|\| id\.StartedAt != 0 && u\.Born != 0 && id\.StartedAt != u\.Born//' $gateway TestCutAnswerIsTakenForAWholeOne
mutant gateway-end-again $gateway/endcheck.go 's/ && !decidesEnd\(err\) && / \&\& false \&\& /' $gateway TestCutAnswerIsTakenForAWholeOne
mutant gateway-end-repeated $gateway/endcheck.go 's/checks\.repeating = len\(list\) > 0\n\t\}\n/checks.repeating = false\n\t}\n/' $gateway TestRepeatedEndChecksAreShared
mutant gateway-end-decided $gateway/endcheck.go 's/if errors\.Is\(err, decisive\) \{\n\t\t\treturn true/if errors.Is(err, decisive) {\n\t\t\treturn false/' $gateway TestCutAnswerIsTakenForAWholeOne
mutant gateway-end-after $gateway/endcheck.go 's/\tchecks\.next, checks\.notBefore = nil, g/\tdefer func() { checks.next = nil }()\n\tchecks.notBefore = g/' $gateway TestEndChecksAreShared
mutant gateway-end-shared $gateway/endcheck.go 's/case c == nil:/case true:/' $gateway TestEndChecksAreShared
mutant gateway-end-backoff $gateway/endcheck.go 's/!known \|\| wait <= 0/!known || wait <= time.Hour/' $gateway TestEndCheckInBackOff
mutant gateway-end-path platform/routes.go 's/return r <= .{3} \|\| r >= 0x7f/return r == 0x7f/' platform TestHealthPath
mutant gateway-other-answer $gateway/attempt.go 's/if answer\.Header\.Get\(g\.proto\.IDHeader\) != rq\.call\.ID \{/if false {/' $gateway TestRefusalOfAnotherRequest
mutant gateway-second-copy $gateway/move.go 's/s\.copies = append\(s\.copies, held\)/_ = append(s.copies, held)/' $gateway TestMove
mutant gateway-faulty $gateway/attempt.go 's/s\.g\.markFaulty\(st\.at\.ID\)/s.g.fleet.RecordOutcome(st.at.ID, fleet.Failed)/' $gateway TestEngineThatFailsAtOnce
mutant gateway-silent $gateway/attempt.go 's/\tg\.markFaulty\(upstream\)\n//' $gateway TestEngineThatStaysSilent
mutant placement-spread $placement/target.go 's/drawIndex\(sameZone, v\.Random\(\)\)/drawIndex(sameZone, 0)/' $gateway TestTargetsOfMoves
mutant placement-room $placement/room.go 's/return ErrMemory/return nil/' internal/placement TestRoom
mutant placement-kept-room $placement/room.go 's/usable = float64\(e\.MemoryTokens\)/_ = e.Slots/' internal/placement TestRoom
mutant placement-waiting-prompts $placement/room.go 's/return ErrPrompts/return nil/' internal/placement TestRoom
mutant gateway-silent-load $gateway/gateway.go 's/g\.loads\.keepPeers\(func/_ = peers\n\t_ = (func/' $gateway TestLoadOfUnreachableEntries
mutant gateway-stop-longest $gateway/duration.go 's/return \(rq\.call\.MaxOutput \+/return (rq.call.Hint +/' $gateway TestStoppingGatewayIgnoresTheHint
mutant duration-engine $gateway/duration.go 's/if e == nil \{/if e != nil || e == nil {/' $gateway TestForecast
mutant duration-shift $gateway/duration.go 's/return max\(mean, time\.Duration\(e\.intervals[^\n]*/return mean, basisEngine/' $gateway TestForecast
mutant duration-old $gateway/duration.go 's/s\.pace\.mean\(minPaceEvents, now\)/s.pace.mean(0, now)/' $gateway TestForecast
mutant duration-reported $gateway/duration.go 's/e\.reported\.mean\(minPaceReports, now\); ok/e.reported.mean(minPaceReports, now); ok \&\& false/' $gateway TestForecast
mutant duration-old-report $gateway/duration.go 's/minPaceReports = 0\.13/minPaceReports = 0.0/' $gateway TestForecast
mutant duration-cautious $gateway/duration.go 's/case x\.cautious:/case false:/' $gateway TestForecast
mutant duration-old-starts $gateway/duration.go 's/max\(1, float64\(f\.interval\)\/float64\(earlier\)\)/min(1, float64(earlier))/' $gateway TestForecast
mutant message-interval internal/gossip/message.go 's/b\.Loads\[id\] = l\.appendInterval\(interval\)/_ = l.appendInterval(interval)/' internal/gossip TestIntervalsArrive
mutant call-cautious $gateway/duration.go 's/if !cautious \{/if true {/' $gateway TestStopAvoidsSlowUpstreams
mutant call-incautious $gateway/stop.go 's/return !g\.StopDeadline\(\)\.IsZero\(\) && g\.stops\(\)\.anyServes/return !g.StopDeadline().IsZero()/' $gateway TestStopAvoidsSlowUpstreams
mutant call-other-upstream $gateway/choose.go 's/if inTime := g\.endingBeforeStop\(rq, candidates\); len\(inTime\) > 0 \{/if inTime := g.endingBeforeStop(rq, candidates); len(inTime) > 0 \&\& false {/' $gateway TestStopAvoidsSlowUpstreams
mutant duration-awaited $gateway/duration.go 's/for _, a := range e\.awaited \{/for _, a := range e.awaited[:0] {/' $gateway TestForecast
mutant duration-unbegun $gateway/duration.go 's/begun \|\| delay > longest \{/begun \&\& delay >= 0*longest {/' $gateway TestForecast
mutant duration-spread $gateway/duration.go 's/if s\.errors\.n < minErrors \{/if true {/' $gateway TestForecastSpread
mutant duration-never-ended $gateway/duration.go 's/\te\.awaited = slices\.Delete[^\n]*\n//' $gateway TestStreamIsMeasured
mutant duration-keep $gateway/gateway.go 's/\tg\.durations\.keep[^\n]*\n//' $gateway TestStreamIsMeasured
mutant duration-choice $gateway/choose.go 's/len\(inTime\) < len\(candidates\) \{/false \&\& len(inTime) > 0 {/' $gateway TestStopAvoidsSlowEngines
mutant gateway-back-after-stop $gateway/stop.go 's/case s\.anyServes:/case false:/' $gateway TestRetryDelayAfterStop
mutant gateway-stop-answers $gateway/stop.go 's/\ttime\.AfterFunc\([^\n]*g\.(giveUpUnanswered|GiveUp)\)\n|\tgo g\.paceGivingUp\([^\n]*\n//g' $gateway TestStopAnswersRequestsInFlight
mutant gateway-half-closed $gateway/request.go 's/\tg\.proto\.Refuse\(rq\.w, &rq\.call, protocol\.Refusal\{Status: status, Reason: reason\}, g\.now\(\)\)\n\}/\tpanic(http.ErrAbortHandler)\n}/' $gateway TestCallerThatOnlyStopsSending

connlimit=internal/connlimit
mutant connection-last-look $connlimit/conn.go 's/n, err = c\.finalRead\(b, err\)/_, _ = c.finalRead, c.Close()/' $connlimit TestReceivedRequest
mutant connection-late-close $connlimit/connlimit.go 's/\t\tc\.enter\(phaseIdle\)\n/\t\tc.enter(phaseIdle)\n\t\tif d := l.limits().Idle; d > 0 {\n\t\t\ttime.AfterFunc(d, func() { l.onEnd(c, reasonIdleTimeout); _ = c.Close() })\n\t\t}\n/' $connlimit TestLimitDoesNotCloseConnection
mutant connection-raised $connlimit/conn.go 's/if c\.extendDeadline\(\) \{/if false \&\& c.extendDeadline() {/' $connlimit TestRaisedLimit
mutant connection-stop-idle $connlimit/conn.go 's/\tstopDeadline := c\.phaseSince\n/\tstopDeadline := c.phaseSince.Add(time.Hour)\n/' $connlimit TestDrain
mutant connection-stop-shutdown internal/daemon/gatewayhttp.go 's/b\.callers\.connections\.Drain\(drainCtx\)/b.callers.server.Shutdown(drainCtx)/' internal/daemon TestStopAnswersRequestRead
mutant connection-last-answer $connlimit/answerwriter.go 's/if w\.limiter\.isDraining\(\) \{/if false {/' $connlimit TestDrain
mutant connection-accepting $connlimit/connlimit.go 's/\t\t\t<-listener\.done\n/\t\t\t_ = listener.done\n/' $connlimit TestDrainWaits
mutant connection-late-stop internal/daemon/gatewayhttp.go 's/\t\tb\.giveUp\(ctx, [^\n]*\n/\t\t_ = b.giveUp\n/' internal/daemon TestLateStop
mutant gateway-at-the-end $gateway/call.go 's/return c\.answerAtDeadline\(ctx, best\), true/_ = c.answerAtDeadline\n\t\t\treturn result{err: ctx.Err()}, true/' $gateway 'TestAnswerReadyAtDeadline|TestUpstreamErrorIsPreferred'
mutant gateway-wait-at-the-end $gateway/call.go 's/const finalAnswerWait = [^\n]*/const finalAnswerWait = 50 * time.Millisecond/' $gateway TestCallWaitsAtDeadline
mutant gateway-panic-answered $gateway/request.go 's/if connlimit\.ResponseStarted\(rq\.w\) \{/if true {/' $gateway TestPanicIsAnswered
mutant relay-packed internal/relay/records.go 's/return s2\.Encode\(nil, b\), nil/return s2.EncodeBetter(nil, b)[:0:0], nil/' internal/relay TestRecordsRoundTrip
mutant placement-overload-age $placement/overload.go 's/min\(ageFactor\*share, 1\)/0*share/' internal/placement TestRetryAfterGrowsWithOverload
mutant gateway-blame $gateway/call.go 's/if len\(c\.failed\) > 1 && !served \{/if false {/' $gateway TestFailureIsAttributed
mutant gateway-copy-outlasts $gateway/move.go 's/context\.WithTimeout\(context\.Background\(\), copyTimeout\)/context.WithTimeout(s.rq.caller, copyTimeout)/' $gateway TestCopyThatOutlasts
mutant gateway-brief-stay $gateway/move.go 's/ && !s\.endsWithin\(typicalCopyTime\)//' $gateway TestMovable
mutant gateway-told-reading $gateway/attempt.go 's/state\.Prefilling == 0/state.Prefilling >= 0/' $gateway TestEngineThatStaysSilent
mutant placement-reserve $placement/reserve.go 's/leavingShare\*shareOf/leavingShare + 0*shareOf/' internal/placement TestReserve
mutant placement-moved-in-time $placement/reserve.go 's/usable = min\(usable, e\.CopyRate/usable = min(usable, 1e9*e.CopyRate/' internal/placement TestUsable
mutant wire-no-rank platform/caller.go 's/(\tif a\.From != nil \{)/\th.Set(headerPriority, "2")\n$1/' platform TestForwardAttempt
mutant fleet-failing internal/fleet/failing.go 's/failingFactor = 3/failingFactor = 0/' internal/fleet TestFailing
mutant relay-hold internal/relay/store.go 's/return min\(max\(left, minLongPollWait\), s\.settings\.Wait\)/_ = left\n\treturn s.settings.Wait/' internal/relay TestLongPollEndsBeforeTableIsStale
mutant retries-together internal/routing/window.go 's/\(recent\+1\)\*float64\(sharers\) > available\+recent/recent+1 > available+recent+0*float64(sharers)/' internal/routing TestConcurrentEntries
mutant retries-kept internal/routing/window.go 's/max\(float64\(u\.Extra\), privateFraction\*share\)/float64(u.Extra)/' internal/routing TestIdleEntries
mutant link-pairs internal/link/link.go 's/if !p\.answersEarlierRequest\(c, req, resp\) \{/if p != nil {/' internal/link TestRepeatedAnswerIsSkipped
mutant sidecar-upload-delivery internal/sidecar/bounds.go 's/return sendqueue\.AwaitEmpty\(c, func\(\) bool \{/return sendqueue.AwaitEmpty(nil, func() bool {/' internal/sidecar TestAnswerIsResetDuringUpload
mutant sidecar-upload-end internal/sidecar/bounds.go 's/if err := u\.await\(c\.Conn\); err != nil \{/if err := u.await(c.Conn); err != nil \&\& false {/' internal/sidecar TestAnswerIsResetDuringUpload
mutant link-keep-open internal/link/link.go 's/letClose = sendqueue\.KeepOpen\(c\.Conn\)/_ = sendqueue.KeepOpen/' internal/link TestUpstreamReadsUploadLater
mutant sendqueue-reported internal/sendqueue/sendqueue.go 's/case closed:/case closed \&\& false:/' internal/sendqueue TestResetThatAWriteReported
mutant sendqueue-closed-window internal/sendqueue/keepopen.go 's/if closed \{/if closed \&\& false {/' internal/sendqueue TestReaderPauses
mutant link-quiet internal/link/link.go 's/now\.Before\(c\.expires\) && openAndSilent\(c\.Conn\)/now.Before(c.expires)/' internal/link 'TestConnectionReuse'
mutant head-status internal/httphead/httphead.go 's/resp\.StatusCode < http\.StatusContinue \|\|/false ||/' internal/httphead TestInvalidHeads
mutant head-most-status internal/httphead/httphead.go 's/resp\.StatusCode > maxStatus/false/' internal/httphead TestInvalidHeads
mutant head-upgrade internal/httphead/httphead.go 's/resp\.StatusCode == http\.StatusSwitchingProtocols/false/' internal/httphead TestInvalidHeads
mutant head-version internal/httphead/httphead.go 's/resp\.ProtoMajor != 1/false/' internal/httphead TestInvalidHeads
mutant head-reason internal/httphead/httphead.go 's/!httpguts\.ValidHeaderFieldValue\(resp\.Status\)/false/' internal/httphead TestInvalidHeads
mutant head-name internal/httphead/httphead.go 's/!httpguts\.ValidHeaderFieldName\(name\)/false/' internal/httphead TestInvalidHeads
mutant head-informational internal/httphead/httphead.go 's/return CheckFields\(http\.Header\(h\)\)/return nil/' internal/httphead TestInvalidHeads
mutant head-trailer internal/httphead/httphead.go 's/CheckFields\(b\.resp\.Trailer\); err != nil/CheckFields(b.resp.Trailer); err != nil \&\& false/' internal/httphead TestInvalidHeads
mutant head-link internal/link/bounds.go 's/httphead\.Check\(resp\); err != nil/httphead.Check(resp); err != nil \&\& false/' internal/link TestInvalidHeads
mutant head-link-trailer internal/link/link.go 's/httphead\.CheckFields\(a\.resp\.Trailer\); err != nil/httphead.CheckFields(a.resp.Trailer); err != nil \&\& false/' internal/link TestInvalidHeads
mutant link-upload-write internal/link/link.go 's/err := <-a\.written\n/err := error(nil)\n/' internal/link TestFailedWriteBreaksAnswer
mutant link-upload-delivery internal/link/link.go 's/err = sendqueue\.AwaitEmpty/_ = sendqueue.AwaitEmpty/' internal/link TestAnswerIsResetDuringUpload
mutant link-upload-end internal/link/link.go 's/if err := a\.checkEnd\(\); err != nil \{/if err := a.checkEnd(); err != nil \&\& false {/' internal/link TestAnswerIsResetDuringUpload
mutant gossip-life internal/gossip/limits.go 's/ \|\| e\.Life != n\.settings\.Incarnation//' internal/gossip TestEchoOfEarlierIncarnation
mutant gossip-life-received internal/gossip/exchange.go 's/ && m\.echo\.Life == n\.settings\.Incarnation//' internal/gossip TestTimeOfLastReceivedMessage
mutant relay-stale internal/relay/store.go 's/err == nil && age > oldest && !changes \{/false \&\& age > oldest \&\& !changes {/' internal/relay TestStoreCalledWhenDelegate
mutant fleet-back internal/fleet/set.go 's/if m\.state != Serving && !m\.selfReported && !stale \{/if m.state == Lapsed \&\& !stale {/' internal/fleet TestUpstreamComesBack
mutant routes-monotone internal/belief/routes.go 's/if r\.table != nil && table\.Version\(\) < r\.table\.Version\(\) \{/if false {/' $gateway TestRouteTableVersionNeverDecreases

mutant placement-old-news $placement/spread.go 's/unreportedFactor \* z\.rate/0 * z.rate/' $gateway TestStaleLoads
mutant relay-hold-end internal/relay/server.go 's/\t\t\tdone = true/\t\t\treturn l.encode(a, receivedAt), nil/' internal/relay TestConfirmationDuringLongPoll
mutant relay-turns internal/relay/store.go 's/if self \|\| s\.takeTurn\(\) \{/if self || s.takeTurn() || true {/' internal/relay TestStoreCallsAreBounded
mutant relay-second-delegate internal/relay/store.go 's/for range maxAsked \{\n\t\tvar p Peer/for range 1 {\n\t\tvar p Peer/' internal/relay TestSecondDelegate
mutant relay-told-anew internal/relay/log.go 's/t\.cachedChanges, t\.cachedTable = reply\{\}, reply\{\}/t.cachedTable = reply{}/' internal/relay TestRepliesAreEncodedOnce
mutant follower-pause internal/belief/follower.go 's/f\.settings\.HoldTime - f\.now\(\)\.Sub\(f\.confirmed\)/f.settings.HoldTime/' internal/belief TestPauseAfterAChange
mutant fleet-closed internal/fleet/unreadable.go 's/ && !s\.closedZones\[m\.Zone\]//' internal/fleet TestClosedZone
mutant fleet-closed-draw internal/fleet/set.go 's/m\.state == Serving && s\.acceptsWork\(m\)/m.state == Serving/' internal/fleet TestClosedZone
mutant fleet-closed-lapsed internal/fleet/set.go 's/m\.state == Lapsed && s\.acceptsWork\(m\)/m.state == Lapsed/' internal/fleet TestClosedZone
mutant fleet-held-work internal/fleet/unreadable.go 's/!m\.unreadable && !s\.closedZones/!s.closedZones/' internal/fleet TestUnreadable
mutant fleet-held-there internal/fleet/unreadable.go 's/\t\tseen\[name\] = true\n//' internal/fleet TestUnreadable
mutant fleet-held-lapse internal/fleet/unreadable.go 's/if m\.state == Lapsed \{/if false {/' internal/fleet TestUnreadable
mutant fleet-held-list internal/fleet/unreadable.go 's/m\.unreadable = true\n\t\t\ts\.serving = nil/m.unreadable = true/' internal/fleet TestUnreadable
mutant fleet-zones-counted internal/fleet/zones.go 's/for zone := range closed \{\n/for zone := range closed {\n\t\tfor _, m := range s.byID {\n\t\t\tupstreams[m.Zone] += 0\n\t\t}\n/' internal/fleet TestManyClosedZonesTakeNoLonger
mutant fleet-departures internal/fleet/set.go 's/\ts\.sweepDepartures\(now\)\n//' internal/fleet TestDeparturesAreForgotten
mutant fleet-released internal/fleet/set.go 's/\ts\.release\(m\)\n//' internal/fleet TestUnreadable

rows=platform/fields.go
mutant rows-name $rows 's/if row == "" \{/if false {/' platform TestDecodeUpstreamRejectsMalformedRows
mutant rows-bytes $rows 's/if !utf8\.Valid\(value\) \{/if !utf8.Valid(nil) {/' platform TestDecodeUpstreamRejectsMalformedRows
mutant rows-told internal/events/excerpt.go 's/if len\(text\) <= maxBytes \{/if len(text) >= 0 {/' internal/events TestExcerpt
mutant rows-missing $rows 's/\t\tf\.fail\(reasonMissing, "%s is missing", name\)\n//' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-null $rows 's/string\(raw\) == "null" \|\| //' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-empty $rows 's/if ok && s == "" \{/if ok \&\& s == "\\x00" {/' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-whole $rows 's/n != math\.Trunc\(n\) \|\| n < 0/math.Trunc(0) != 0 || n < 0/' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-negative $rows 's/ \|\| n < 0 \|\|/ ||/' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-most $rows 's/ \|\| n > float64\(most\) \{/ {/' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-address $rows 's/a\.Port\(\) == 0 \|\| //' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-host $rows 's/ \|\| a\.Addr\(\)\.IsUnspecified\(\)//' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-version $rows 's/(\treturn strconv\.FormatFloat\(f\.number)/\tif string(f.fields[name]) == "true" {\n\t\treturn "true"\n\t}\n$1/' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-state platform/upstreams.go 's/f\.oneOf\("state", stateReady, stateDraining\)/f.nonEmptyString("state")/' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-cold platform/upstreams.go 's/if cold > maxColdMS \{/if false {/' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-no-longer-cold platform/routes.go 's/min\(max\(v, 0\), /min(v, /' platform TestDecodeUpstreamAcceptsValidRows
mutant rows-text $rows 's/if len\(s\) > maxTextBytes \{/if len(s) > 64<<10 {/' platform TestDecodeUpstreamRejectsInvalidFields
mutant rows-long-name $rows 's/if len\(row\) > maxTextBytes \{/if len(row) > 64<<10 {/' platform TestDecodeUpstreamRejectsMalformedRows
mutant rows-size $rows 's/f\.fail\(reasonSize, "%v", err\)\n\t\treturn f/_ = reasonSize/' platform "TestNestedRowTakesNoLongerThanValidRow|TestLongRowIsRejected"
mutant json-depth internal/jsonbound/jsonbound.go 's/if depth\+\+; depth > maxDepth \{/if depth++; depth > 1<<40 {/' platform TestNestingOverflowsNoStack
mutant json-strings internal/jsonbound/jsonbound.go 's/i = stringEnd\(text, i\+1\)/_ = stringEnd(text, i+1)/' internal/jsonbound TestCheck
mutant json-errors internal/jsonbound/jsonbound.go 's/events\.Excerpt\(err\.Error\(\), maxExcerptBytes\)/events.Excerpt(err.Error(), 1<<20)/' internal/jsonbound TestErrorsAreShort
mutant json-embedded internal/jsonbound/jsonbound.go 's/MaxEmbeddedDepth = MaxDepth \/ 2/MaxEmbeddedDepth = MaxDepth/' internal/jsonbound TestEmbeddedTextFitsIntoAMessage
mutant merge-joined internal/entry/relay.go 's/text := joinedTextOf\(into\[k\]\)/text := \&joinedText{append([]byte(nil), joinedTextOf(into[k]).b...)}/' internal/entry TestLongAnswerIsMerged
mutant body-depth internal/entry/completions.go 's/if err := jsonbound\.CheckEmbedded\(body, len\(body\)\); err != nil \{/if err := jsonbound.CheckEmbedded(nil, 0); err != nil {/' internal/entry TestDeeplyNestedBodyIsRefused
mutant event-depth internal/sidecar/enginelink.go 's/jsonbound\.UnmarshalEmbedded\(/jsonbound.Unmarshal(/' internal/sidecar TestDeeplyNestedEventIsMalformed
mutant routes-kind-told platform/routes.go 's/is not known", excerpt\(r\.RouteType\)/is not known", r.RouteType/' platform TestDecodeRoutesRejectsInvalidConfig
mutant times-bounded platform/routes.go 's/\tv = min\(max\(v, 0\), float64\(maxDuration\/time\.Millisecond\)\)\n//' platform TestMilliseconds
mutant rows-each platform/store.go 's/\t\tp\.Value, p\.Gone = nil, false\n/\t\treturn err\n/' platform TestUnreadableRowLeavesOtherRows
mutant rows-no-value platform/store.go 's/\t\tp\.Value, p\.Gone = nil, false\n/\t\tp.Gone = false\n/' platform TestUnreadableRowLeavesOtherRows
mutant rows-advance platform/store.go 's/if next <= from \{/if next < from {/' platform TestListFailsWhenPagesDoNotAdvance
mutant changes-too-long platform/store.go 's/if errors\.Is\(err, sizebound\.ErrTooLong\) \{/if errors.Is(err, sizebound.ErrTooLong) \&\& wait < 0 {/' platform TestTooManyChangesForOneAnswer
mutant retry-rows-told internal/retryuse/retryuse.go 's/if rejected\+\+; rejected > maxBadRowLogs \{/if rejected++; rejected < 0 {/' internal/retryuse TestOddRowsAreLoggedShortly
mutant entry-rows-removed internal/directory/directory.go 's/expired\[:min\(len\(expired\), maxRemoved\)\]/expired/' internal/directory TestExpiredRowsAreRemovedInParts
mutant entry-data-told internal/directory/directory.go 's/(v\.age\(s\.Clock\)\); err != nil \{\n\t\t\t\t)reject\(r, err\)/$1d.rec.Note(events.RegisterFailed, "", "error", err)/' internal/directory TestUnreadableDataIsLoggedOncePerVersion
mutant rows-kept platform/store.go 's/case table == TableUpstreams && len\(r\.Value\) > maxRowBytes:/case table == "":/' platform TestUnusedValuesAreNotKept
mutant rows-kept-operator platform/store.go 's/case table == TableRoutes && r\.Key != RowRoutes:/case table == "":/' platform TestUnusedValuesAreNotKept
mutant rows-last-name platform/store.go 's/if r\.Key != "" \{/if r.Ver >= 0 {/' platform TestListContinuesAfterPageWhoseLastRow
mutant bad-rows-there internal/daemon/upstreamrows.go 's/\t\t\tunreadable = append\(unreadable, row\.Name\)\n//' internal/daemon TestBadRowDoesNotAffect
mutant bad-rows-once internal/daemon/badrows.go 's/if known && old\.version == row\.Version \{/if known \&\& old.version < 0 {/' internal/daemon TestBadRowsAreReported
mutant bad-rows-versions internal/daemon/badrows.go 's/if known && old\.version == row\.Version \{/if known \&\& old.version >= 0 {/' internal/daemon TestBadRowsAreReported
mutant bad-rows-kept internal/daemon/upstreamrows.go 's/if full \{/if false {/' internal/daemon TestBadRowsAreReported
mutant bad-rows-good-again internal/daemon/upstreamrows.go 's/\t\tu\.bad\.remove\(row\.Name\)\n\t\tr\.Version/\t\tr.Version/' internal/daemon TestBadRowsAreReported
mutant bad-rows-lines internal/daemon/badrows.go 's/if b\.logged >= badRowLogLimit \{/if false {/' internal/daemon TestBadRowLogLines
mutant routes-once internal/belief/routes.go 's/if !r\.refused \|\| r\.refusedRow != rec\.Version \{/if true {/' internal/belief TestUnusableTableIsLogged
mutant routes-each-version internal/belief/routes.go 's/ \|\| r\.refusedRow != rec\.Version \{/ {/' internal/belief TestUnusableTableIsLogged
mutant routes-unusable-unconfirmed internal/belief/routes.go 's/ && !r\.refused && at/ \&\& at/' internal/belief TestUnusableTableConfirmsNothing
mutant zones-named platform/store.go 's/return zone, ok && zone != ""/return zone, ok/' platform TestClosedZone
entry=internal/directory/row.go
mutant entries-bytes $entry 's/if !utf8\.Valid\(value\) \{/if !utf8.Valid(nil) {/' internal/directory TestUnusableRowsAreIgnored
mutant entries-address $entry 's/if err != nil \|\| a\.Port\(\) == 0 \|\| !a\.Addr\(\)\.Is4\(\) \{/if err == nil \&\& a.Port() == 0 {/' internal/directory TestUnusableRowsAreIgnored
mutant entries-port $entry 's/ \|\| a\.Port\(\) == 0 \|\|/ ||/' internal/directory TestUnusableRowsAreIgnored
mutant entries-family $entry 's/ \|\| !a\.Addr\(\)\.Is4\(\) \{/ {/' internal/directory TestUnusableRowsAreIgnored
mutant entries-absent $entry 's/r := row\{RenewedMS: -1\}/r := row{}/' internal/directory TestUnusableRowsAreIgnored
mutant entries-times $entry 's/ \|\| r\.RenewedMS > maxClockMS / /' internal/directory TestUnusableRowsAreIgnored
mutant entries-pause $entry 's/ \|\| r\.RenewsEachMS <= 0 / /' internal/directory TestUnusableRowsAreIgnored
mutant entries-once $entry 's/return !known \|\| version != r\.Version/return !known || version >= 0/' internal/directory TestBadRowsAreLoggedOncePerVersion
mutant entries-lines internal/directory/directory.go 's/ && logged < maxBadRowLogs \{/ {/' internal/directory TestBadRowsAreLoggedOncePerVersion
mutant directory-owed internal/directory/directory.go 's/renewalDue = err != nil/_ = err/' internal/directory TestRefusedRenewal

starts=internal/fleet/starts.go
mutant start-own-id $starts 's/case born != 0:/case false:/' internal/fleet TestRestartUnderTheSameName
mutant start-id-unique $starts 's/return name \+ incarnationSeparator\n/return name\n/' internal/fleet TestIncarnationIdentifiers
mutant start-ended $starts 's/\ts\.remove\(m\)\n\ts\.rec/\ts.rec/' internal/fleet 'TestLateInformationAboutAnEarlierIncarnation|TestRestartUnderTheSameName'
mutant start-old-news $starts 's/if !overrides && isOlder\(r, m\.Record\) \{/if !overrides \&\& false {/' internal/fleet TestLateInformationAboutAnEarlierIncarnation
mutant start-version-first $starts 's/r\.Version == 0 \|\| other\.Version == 0 \|\| r\.Version == other\.Version/true/' internal/fleet TestLateInformationAboutAnEarlierIncarnation
mutant start-birth-unversioned $starts 's/return r\.Born < other\.Born/return false/' internal/fleet TestLateInformationAboutAnEarlierIncarnation
mutant start-no-birth $starts 's/known && r\.Born == 0/false/' internal/fleet TestRecordWithoutAStartTime
mutant start-old-removal internal/fleet/set.go 's/g\.Version != 0 && g\.Version < m\.Version/false/' internal/fleet TestLateInformationAboutAnEarlierIncarnation
mutant start-listed-name internal/fleet/set.go 's/seen\[r\.Name\] = true/seen[incarnationID(r.Name, r.Born)] = true/; s/if !seen\[name\] \{/if !seen[s.byName[name].ID] {/' internal/fleet TestLateInformationAboutAnEarlierIncarnation
mutant start-version-kept internal/daemon/upstreamrows.go 's/\t\tr\.Version = row\.Version\n//' internal/daemon TestUpstreamChangesKeep
mutant start-removal-version internal/daemon/upstreamrows.go 's/, Version: row\.Version\}\)/})/' internal/daemon TestUpstreamChangesKeep
mutant start-report $gateway/inquire.go 's/ && state\.StartedAt != u\.Born \{/ \&\& false {/' $gateway TestReportOfAnotherIncarnation
mutant start-copy-target $gateway/move.go 's/if !g\.incarnationKnown\(target\.ID\) \{/if false {/' $gateway TestCopyToAnEndedIncarnation
mutant start-orders $gateway/move.go 's/if !g\.incarnationKnown\(from\.ID\) \{/if false {/' $gateway TestNothingIsMovedFromAnEndedIncarnation
mutant start-release $gateway/move.go 's/if !g\.incarnationKnown\(held\.at\.ID\) \{/if false {/' $gateway TestCopiesHeldByAnEndedIncarnation
mutant start-copies $gateway/continue.go 's/if s\.g\.incarnationKnown\(held\.at\.ID\) && /if /' $gateway TestCopiesHeldByAnEndedIncarnation
mutant start-wire-name $gateway/request.go 's/Upstream: u\.Name,/Upstream: u.ID,/' $gateway TestCallsToAnEndedIncarnation
mutant start-row platform/upstreams.go 's/Born: f\.born\(\), //' platform TestBornFieldOfUpstreamRow
mutant start-reported platform/engine.go 's/\t\tStartedAt:  r\.Born,\n//' platform TestBornFieldOfEngineReport

# Quarantine of poison requests.
held=internal/quarantine
mutant held-refused $held/set.go 's/if !u\.quarantinedAt\.IsZero\(\) && s\.now\(\)\.Before\(u\.quarantinedUntil\(\)\) \{/if false {/' $held TestQuarantineAfterThreeCrashes
mutant held-turns $held/set.go 's/s\.running\[r\.Fingerprint\] > 0 \|\| //' $held TestSuspectWaitsForItsTurn
mutant held-elsewhere $held/set.go 's/ \|\| s\.runsAtPeer\(r\.Fingerprint\) \|\|/ ||/' $held TestSuspectWaitsForRunAtPeer
mutant held-unclear $held/set.go 's/ \|\| s\.decisionPending\(u\) \{/ {/' $held TestUnconfirmedCrashesDelayNextTrial
mutant held-served-lately $held/set.go 's/return now\.Sub\(s\.served\[f\]\) < servedTTL \|\| /return /' $held TestRecentlyServedRequestIsNotSuspected
mutant held-served-bound $held/run.go 's/if len\(s\.served\) < maxServed \{/if true {/' $held TestServedRequestsAreBounded
mutant held-cleared $held/run.go 's/\ts\.clear\(u, "it was served"\)\n/\t_ = u\n/' $held TestServedRequestIsCleared
mutant held-repeat $held/run.go 's/s\.suspicion\(u\) <= maxRetryCrashes/true/' $held TestServedRequestIsCleared
mutant held-one-try $held/run.go 's/r\.probation && r\.sentAt\.IsZero\(\)/r.probation/' $held TestOneTrialAfterQuarantine
mutant held-doubles $held/suspect.go 's/period = min\(2\*period, maxQuarantine\)/period = min(period, maxQuarantine)/' $held TestOneTrialAfterQuarantine
mutant held-stood-out $held/verdict.go 's/case o\.leadsAtAny\(u, distinctive\):/case true:/' $held TestAttribution
mutant held-explained $held/verdict.go 's/open\[u\] = e\.unexplained\(u\)/open[u] = u.activeCrashes()/' $held TestAttribution
mutant held-telling $held/verdict.go 's/case len\(distinctive\) < needed:/case len(distinctive)+needed < 0:/' $held 'TestHarmlessRequestBesideTwoPoisonRequests|TestSoundRequestsBesideSeveral'
mutant held-first-run $held/verdict.go 's/return !c\.complete \|\| o\.anyOther\(u, incarnation, func\(\*suspect\) bool \{ return true \}\)/return false/' $held TestHarmlessRequestBesideTwoPoisonRequests
mutant held-stray $held/verdict.go 's/if n > maxSpontaneous \{/if n < 0 {/; s/\t\tif latest\.Sub/\t\tif n >= 0 \&\& latest.Sub/' $held 'TestSoundRequestsBesideSeveralCulprits/.*rolling_150ms' -rig.seeds=20
mutant held-later-start $held/laterstart.go 's/for n := 1; s\.crashedBefore/for n := 1; n < 0 \&\& s.crashedBefore/' $held TestLaterIncarnation
mutant held-later-crossed $held/laterstart.go 's/sentAt\.Add\(-minDowntime\)/sentAt.Add(minDowntime)/' $held TestRequestSentRightAfterCrash
mutant held-explained-by-one $held/set.go 's/if s\.explainedByOne\(u\) \{\n\t\treturn u\.unconfirmed\(\)\n\t\}/if len(s.explained.unexplained(u)) == 0 {\n\t\treturn u.unconfirmed()\n\t}/' $held TestCrashesExplainedByTwoRequests
mutant held-turn $held/turn.go 's/return slices\.Index\(names, s\.name\)%groups == int\(since\/turnDuration\)%groups/return groups > 0/' $held TestEntriesTakeTurns
mutant held-apart $gateway/crashing.go 's/if rq\.run\.Isolation\(\) != quarantine\.Apart \{/if true {/' $gateway TestSuspectsAreIsolated
mutant held-most-there $gateway/crashing.go 's/if !quarantine\.EnoughAvailable\(available, len\(list\)\) \{/if available < 0 {/' $gateway TestSuspectsAreIsolated
mutant held-trials-told $held/word.go 's/\t\t\tw\.At = upstream\n/\t\t\t_ = upstream\n/' $held TestTrialsAreGossiped
mutant held-runs-told $held/word.go 's/u\.setRunKind\(incarnation, w\.kind\(incarnation\)\)/u.setRunKind(incarnation, unknownRun)/' $held TestTrialsAreGossiped
mutant held-trial-cost $placement/cost.go 's/\tif c\.Trial \{\n\t\tcost \+= trialCost\n\t\}\n//' $gateway TestSuspectsAreIsolated
mutant held-entry-apart internal/entry/crashing.go 's/case isolation != quarantine\.Apart:/case true:/' internal/entry TestIsolate
mutant held-entry-down internal/sidecar/starts.go 's/sentWhileUp := !u\.down \|\| !u\.downAt\.Before\(sentAt\)/sentWhileUp := true/' internal/sidecar TestRequestSentWhileTheUpstreamIsDown
mutant held-void-told $held/word.go 's/\t\t\tw\.Voided = append\(w\.Voided, incarnation\)\n//' $held 'TestClearanceReachesOtherEntries|TestOperatorsListAndLift'
mutant held-told-anew $held/word.go 's/\tif len\(u\.activeCrashes\(\)\) >= gossipByAllThreshold \{\n\t\treturn true\n\t\}\n//' $held TestNewEntryLearnsFromGossip
mutant held-bounded $held/set.go 's/\t\ts\.evictIfFull\(\)\n//' $held TestSuspectsAreBounded
mutant held-ends-bounded $held/suspect.go 's/if len\(u\.crashes\) >= maxCrashes \{/if false {/' $held TestCrashesOfOneRequestAreBounded
mutant held-forgotten $held/set.go 's/if u\.expired\(now\) \{/if false {/' $held TestSuspectsExpire
mutant held-learnt-again $held/word.go 's/if u\.expired\(s\.now\(\)\) \{/if false {/' $held TestSuspectsExpire
mutant held-settled $held/set.go 's/case now\.Sub\(lost\.at\) > confirmTimeout:/case now.Sub(lost.at) > 24*time.Hour:/' $held TestConfirmationOfLostResponses
mutant held-alive $held/set.go 's/lost\.alive = true/lost.alive = false/' $held TestConfirmationOfLostResponses
mutant held-replaced $held/set.go 's/case replaced\(lost\.routedTo\):/case false:/' $held TestConfirmationOfLostResponses
mutant held-account $held/fingerprint.go 's/hashOf\(body, method, host, target, account\)/hashOf(body, method, host, target)/' $held TestFingerprintOf
mutant held-parts $held/fingerprint.go 's/\t\t_, _ = h\.Write\(size\[:\]\)\n//' $held TestFingerprintOf
mutant held-ended $gateway/crashing.go 's/\t\tg\.quarantine\.ConfirmCrash\(upstream\.ID\)\n//' $gateway TestOnlyCrashesMakeASuspect
mutant held-leaving $gateway/crashing.go 's/known && u\.State\(\) == fleet\.Leaving/known \&\& u.State() < 0/' $gateway TestOnlyCrashesMakeASuspect
mutant held-lost-answer $gateway/crashing.go 's/g\.quarantine\.ConfirmAlive\(upstream\.ID\)/g.quarantine.ConfirmCrash(upstream.ID)/' $gateway TestOnlyCrashesMakeASuspect
mutant held-hedge $gateway/call.go 's/ \|\| c\.rq\.run\.Suspected\(\) \{/ {/' $gateway TestSuspectIsNotHedged
mutant held-call $gateway/call.go 's/\t\tg\.recordBrokenAnswer\(rq, u, r\.err\)\n//' $gateway TestPoisonRequestIsQuarantined
mutant held-stream $gateway/attempt.go 's/\t\ts\.g\.recordBrokenAnswer\(s\.rq, st\.at, err\)\n//' $gateway TestPoisonRequestIsQuarantined
mutant held-alone internal/daemon/gatewaypeers.go 's/\tb\.gateway\.Quarantine\(\)\.Merge\(from, s\.Suspects\)\n//' platform/soak TestCrashingRequest
mutant held-untold internal/gossip/message.go 's/Suspects: quarantine\.Encode\(s\.Suspects/Suspects: quarantine.Encode(s.Suspects[:0]/' platform/soak TestCrashingRequest
mutant held-carried internal/directory/directory.go 's/\t\t\td\.rowData\.OnRead\(r\.Name, v\.Carried, v\.age\(s\.Clock\)\)\n//' internal/directory TestCarriedValueSurvives
mutant held-renewed internal/directory/directory.go 's/\t\t\trenewalDue = true\n//' internal/directory TestCarriedValueSurvives
mutant held-recalled internal/daemon/gatewaypeers.go 's/\tb\.gateway\.Quarantine\(\)\.Restore\(/\t_ = (/' platform/soak TestCrashingRequestIsKnown
mutant held-written internal/daemon/gatewaypeers.go 's/\t\tb\.directory\.RenewSoon\(\)\n//' platform/soak TestCrashingRequestIsKnown
mutant held-sidecar-starts internal/sidecar/starts.go 's/u\.restarts, u\.down = u\.restarts\+1, false/u.down = false/' internal/sidecar TestUpstreamIncarnations
mutant held-entry-generation internal/entry/completions.go 's/\t\te\.reportCrash\(j\.run, part\.EndedIncarnation\(\)\)\n//' internal/scenario 'TestRequestThatCrashesUpstreams$'
mutant held-entry-call internal/sidecar/calls.go 's/\treturn s\.incarnations\.endedDuring\(ctx, sentAt\)\n/\treturn ""\n/' internal/scenario 'TestRequestThatCrashesUpstreams$'
mutant held-entry-sidecar internal/entry/crashing.go 's/\trun\.ResponseLost\(incarnation\)\n\tgo func/\tgo func/' internal/scenario TestRequestThatCrashesSidecars
mutant entry-key-after-body internal/entry/entry.go 's/return body, r\.authenticate\(e\.activeConfig\(\)\)/return body, nil/' internal/scenario TestKeyRevokedWhileBodyArrives
mutant held-entry-told internal/membership/set.go 's/quarantine\.Encode\(status\.Suspects/quarantine.Encode(status.Suspects[:0]/; s/process, r\.Suspects\)/process, r.Suspects[:0])/' internal/scenario 'TestRequestThatCrashesUpstreams$'

mutant stop-noticed-late internal/daemon/gatewayhttp.go 's/signalled, earliest = b\.stalls\.earliestSignal\(\), /signalled, earliest = time.Now(), /' internal/daemon TestStopSignalTimes
mutant stop-in-pieces internal/daemon/runlag.go 's/t\.late$/false/m; s/late = t\.late/late = false/' internal/daemon TestLagDetector
mutant stop-lag-asked internal/daemon/gatewayhttp.go 's/, b\.lags\.earliestSignal\(\)$/, time.Now()/m' internal/daemon TestStopSignalTimes
mutant stop-gives-up-late internal/gateway/stop.go 's/AfterFunc\(d\.Unanswered\.Add/AfterFunc(d.NewRequests.Add/' internal/gateway TestDrainUntilKeepsRequestsInFlight
mutant stop-cuts-begun internal/gateway/stop.go 's/AfterFunc\(d\.End\.Sub/AfterFunc(d.Unanswered.Add(-AnswerReserve).Sub/' internal/gateway TestBegunAnswerOutlastsUnansweredDeadline
mutant stop-cuts-with-unanswered internal/daemon/gatewayhttp.go 's/\tb\.gateway\.GiveUpUnanswered\(\)/\tb.gateway.GiveUp()/' platform/soak TestStopCutsStreamsThatCouldStillEnd/4s
mutant stop-cuts-early internal/daemon/gatewayhttp.go 's/within-exitReserve\n/within-stopReserve\n/' internal/daemon TestStopDeadlines
mutant stop-takes-given-up internal/daemon/gatewayhttp.go 's/answered - gateway\.AnswerReserve\)/answered)/' internal/daemon TestStopDeadlines
mutant stop-takes-cut internal/gateway/stop.go 's/end\.After\(g\.lastStreamEnd\.Load\(\)\)/end.IsZero()/' internal/gateway TestStopAcceptsStreamsThatItCuts
mutant stop-takes-unproved internal/gateway/stop.go 's/expected \+ g\.endProofTimes\.expected\(rq\.service\.Name\)/expected/' internal/gateway TestStopAcceptsStreamsWhoseEndsAreProvedLate
mutant stop-takes-unbegun internal/gateway/stop.go 's/now\.Add\(f\.start\)\.After\(by\) \|\| //' internal/gateway TestStopAcceptsStreamsThatItCuts
mutant stop-begins-late internal/gateway/relay.go 's/if !s\.headSent && s\.cutByStop\(st\.at\)/if false/' internal/gateway TestStopCutsStreamsThatBeginLate
mutant stop-early-begins internal/gateway/duration.go 's/rq\.readAt\.Before\(noticed\)/rq.readAt.Before(noticed.Add(-time.Hour))/' internal/gateway TestStopCutsStreamsThatBeginLate
mutant copy-lost-waiting internal/gateway/continue.go 's/if !s\.holds\(held\) \{\n\t\t\ts\.keepAttempt/if false {\n\t\t\ts.keepAttempt/' internal/gateway TestCopyIsLostWhileResumptionWaits
mutant stop-begun-counted internal/gateway/relay.go 's/!s\.headSent && !s\.rq\.beginAnswer\(\)/false/' internal/gateway TestBegunAnswerOutlastsUnansweredDeadline
mutant stop-unanswered-first internal/gateway/stop.go 's/\(d\.Unanswered\.Add/(d.End.Add/g' internal/gateway TestUnansweredRequestsAreGivenUpFirst
mutant stop-begun-by-notice internal/daemon/gatewayhttp.go 's/noticed\.Add\(cut\)/signalled.Add(cut)/' platform/soak TestStopBesidePauseCutsNoStreamEarly
mutant stop-given-up-goes-on internal/gateway/stop.go 's/\t\tgiveUp\(\)\n\t\treturn false/\t\treturn false/' internal/gateway TestGivenUpRequestIsCancelledAtOnce
mutant stop-begins-after-end internal/gateway/stop.go 's/\tg\.giveUpUnanswered\(\)\n\tg\.giveUpAll/\tg.giveUpAll/' internal/gateway TestNoAnswerBeginsAfterGiveUp
mutant stop-closes-early internal/daemon/gatewayhttp.go 's/if at\.Before\(balancerNoticed\)/if false/' internal/daemon TestLateNoticedStopKeepsListener
mutant stop-unsent-return internal/gateway/request.go 's/case !rq\.sent && stopped:/case false:/' internal/gateway TestRetryDelayOfUnsentRequestGivenUp
mutant decide-after-body internal/gateway/request.go 's/(readBody\(rq, r\)) \|\| !g\.readTable\(rq\) \|\| !g\.decide\(rq\)/$1/' internal/gateway TestRoutesChangeDuringBody
mutant late-body-room internal/gateway/wait.go 's/deadline := s\.rq\.readAt/deadline := s.rq.start/' internal/gateway TestWaitForRoom
mutant late-body-permit internal/gateway/permit.go 's/return rq\.readAt/return rq.start/' internal/gateway TestLateBodyLeavesTimeToWait
mutant late-body-start internal/gateway/choose.go 's/gen\.StartBy = rq\.readAt/gen.StartBy = rq.start/' internal/gateway TestLateBodyLeavesTimeToWait
mutant stop-ends-connection internal/gateway/request.go 's/if !g\.StopDeadline\(\)\.IsZero\(\) \{(\n\t\trq\.w)/if false {$1/' internal/gateway TestStopDuringBodyEndsConnection
mutant resume-copy-returned internal/gateway/continue.go 's/\ts\.copies = slices\.Insert\(s\.copies, 0, held\)/\t_ = slices.Insert(s.copies, 0, held)/' internal/gateway TestUnusedCopyIsReleased
mutant body-in-time internal/gateway/request.go 's/\t_ = c\.SetReadDeadline\(rq\.deadline\)\n//' internal/gateway TestDeadlinePassesDuringBody
mutant body-late-connection internal/gateway/request.go 's/\tif err == nil \{(\n\t\t_ = c\.SetReadDeadline)/\tif true {$1/' internal/gateway TestDeadlinePassesDuringBody
mutant refused-before-body internal/gateway/request.go 's/\t\t_ = http\.NewResponseController\(rq\.w\)\.SetReadDeadline\(now\.Add\(restOfBodyTime\)\)\n//' internal/gateway TestUnconfirmedKeyIsRefusedBeforeBody
mutant link-over internal/link/link.go 's/if err := ctx\.Err\(\); err != nil \{\n\t\treturn nil, fmt\.Errorf\("%w: %w", ErrNotSent, err\)/if err := ctx.Err(); false {\n\t\treturn nil, err/' internal/gateway TestDeadlinePassesBeforeSend
mutant send-checks-routes internal/gateway/send.go 's/if err := g\.checkKey\(rq\); err != nil/if err := g.checkKey(rq); false \&\& err != nil/' internal/gateway TestRoutesChangeBeforeSecondAttempt
mutant send-keys $gateway/send.go 's/if rq\.table\.NeedsKey\(rq\.route\) \&\& !g\.servesKeys/if rq.table == nil \&\& !g.servesKeys/' $gateway TestRoutesChangeBeforeSecondAttempt
mutant send-begun-goes-on internal/gateway/send.go 's/if s\.headSent \{/if false {/' internal/gateway TestBegunAnswerOutlastsItsKey
mutant send-quarantine internal/gateway/send.go 's/case !rq\.run\.MaySend\(\):/case false:/' internal/gateway TestCrashesWhileRequestWaits
mutant send-repeats internal/gateway/send.go 's/case repeats && /case false \&\& /' internal/gateway TestCrashesWhileRequestWaits
mutant stop-awaits-responses internal/daemon/gatewayhttp.go 's/if least := time\.Now\(\)\.Add\(gateway\.AnswerReserve\); end\.Before\(least\) \{/if least := time.Now().Add(gateway.AnswerReserve); true {/' internal/daemon TestResponsesAreAwaitedUntilTheEndOfAStop
mutant stop-crowd internal/gateway/stop.go 's/\tg\.unanswered\.keepOldest\(int\(keep\)\)\n//' internal/gateway TestCrowdIsGivenUpInTime
mutant stop-crowd-pause internal/gateway/stop.go 's/end\.Sub\(g\.now\(\)\)-pause/end.Sub(g.now())-0*pause/' internal/gateway TestCrowdIsGivenUpInTime
mutant stop-crowd-share internal/gateway/stop.go 's/if share < 1 \{/if false {/' internal/gateway TestCrowdIsGivenUpInTime
mutant stop-crowd-newest internal/gateway/unanswered.go 's/u\.list\.Back\(\)/u.list.Front()/' internal/gateway TestCrowdIsGivenUpInTime
mutant stop-crowd-begins internal/gateway/stop.go 's/\t\tif unhookUnanswered\(\) \{\n\t\t\tgiveUpUnanswered\(\)/\t\tif unhookUnanswered() {\n\t\t\tg.unanswered.noteGivenUp(g.now())/' internal/gateway TestCrowdIsGivenUpInTime
mutant stop-crowd-begun internal/gateway/stop.go 's/\t\tremove\(\)\n\t\tif unhookUnanswered/\t\tif unhookUnanswered/' internal/gateway TestNoAnswerBeginsAfterEarlyGiveUp
mutant stop-crowd-once internal/gateway/stop.go 's/\t\tif unhookUnanswered\(\) \{\n\t\t\tgiveUpUnanswered\(\)\n\t\t\}/\t\tgiveUpUnanswered()/' internal/gateway TestNoAnswerBeginsAfterEarlyGiveUp
mutant stop-starved-takes internal/gateway/stop.go 's/g\.now\(\)\.Add\(g\.lateness\(\)\)/g.now()/' internal/gateway TestStarvedStopRefusesRequests
mutant stop-run-moments internal/gateway/runmeter.go 's/ran \+= runInterval/ran += gap/' internal/gateway TestRunMeter
mutant stop-closes-last internal/daemon/gatewayhttp.go 's/\(b\.callers\.connections\.Open\(\)\)\n\treturn nil/(b.callers.connections.Open())\n\treturn b.callers.server.Close()/' internal/daemon TestResponsesAreWrittenWhileOtherServicesStop
mutant link-drain-large internal/link/late.go 's/firstDrainChunk = 1 << 10/firstDrainChunk = 64 << 10/' internal/link TestRequestsThatEndTogetherNeedLittleMemory
mutant link-drain-once internal/link/late.go 's/chunk = make\(\[\]byte, drainChunk\)/return/' internal/link TestLongReceivedAnswerIsReadWhole
mutant stop-log-awaits-handlers internal/daemon/gatewayhttp.go 's/\t_ = b\.callers\.connections\.Drain\(ctx\)\n//' internal/daemon TestLinesOfClosedConnectionsAreLost
mutant stop-unread-cut internal/gateway/relay.go 's/if s\.g\.stopping\.Err\(\) != nil/if false/' internal/gateway TestStopClosesUnreadAnswerWithoutALine
mutant stop-takes-by-last internal/gateway/stop.go 's/g\.lastAnswer\.Store\(d\.NewRequests\)/g.lastAnswer.Store(d.End)/' internal/gateway TestDrainUntilKeepsRequestsInFlight
mutant stop-return-early internal/gateway/stop.go 's/g\.latestEnd\.Store\(d\.End\)/g.latestEnd.Store(d.NewRequests)/' internal/gateway TestRetryDelayAfterLateNoticedStop
mutant stop-waits-entry internal/daemon/entry.go 's/if !b\.entry\.WaitIdle\(ctx\) \{/if _ = ctx; false {/' internal/scenario 'TestScripts/entry_stop'
mutant stop-waits-sidecar internal/daemon/sidecar.go 's/if !b\.server\.WaitIdle\(ctx\) \{/if _ = ctx; false {/' internal/scenario 'TestScripts/leaving'
mutant stop-waits-gateway internal/daemon/gatewayhttp.go 's/if err := b\.callers\.connections\.Drain\(drainCtx\); err != nil \{/if err := drainCtx.Err(); err != nil {/' internal/daemon TestOtherServicesStopAfterRequestsInFlight
mutant stop-stall-looked internal/daemon/runwatch.go 's/d\.stalledFrom, d\.stalledTo = d\.lastTick, now/d.stalledFrom = d.lastTick/' internal/daemon TestStallDetector

mutant judge-planned-leave platform/soak/judge_test.go 's/(for _, r := range a\.runs \{\n\t\tif !c\.undisturbed\(r\.upstream, a\.sent, a\.ended, )false/$1true/' platform/soak TestPlannedLeaveExcusesOnlyBrokenOffRequests
mutant judge-grace-work platform/soak/judge_test.go 's/ && a\.workedOnAt\(lastSixth\)//' platform/soak TestGraceTimeExcusesOnlyUnfinishedWork
mutant judge-accepted platform/soak/judge_test.go 's/if a\.arrived > 0 \{\n\t\treturn true/if a.arrived > 0 {\n\t\treturn len(a.runs) > 0/' platform/soak TestAcceptedRequestIsLostBeforeItRuns
mutant judge-last-byte platform/soak/judge_test.go 's/a\.sentBy\(\)\.Sub\(at\) > keyBound/a.sent.Sub(at) > keyBound/' platform/soak TestRevokedKeyCountsFromLastByte
mutant judge-leave-arrival platform/soak/notice_test.go 's/known && s\.at\.Sub/known \&\& a.sent.Sub/' platform/soak TestAnnouncedLeaveCountsFromArrival
mutant judge-timeouts platform/soak/judge_test.go 's/\tc\.checkTimeouts\(\)\n//' platform/soak TestRequestsWithoutAnswerCountAsLate
mutant judge-sent-again platform/soak/caller_test.go 's/if a\.body == "" \{/if false {/' platform/soak TestLostRequestIsNotSentAgain

# Panics of this program while it handles its input.
mutant fault-table internal/belief/routes.go 's/err = guard\.Do\(func\(\) \(err error\) \{\n\t\ttable, err = r\.decode\(rec\.Value\)\n\t\treturn err\n\t\}\)\n\treturn table, err/return r.decode(rec.Value)/; s/.*internal\/guard"\n//' internal/belief TestPanickingDecoderKeepsTheLastTable
mutant fault-message internal/peer/conn.go 's/err = guard\.Do\(func\(\) \(err error\) \{\n\t*result, err = h\(ctx, c, params\)\n\t*return err\n\t*\}\)/result, err = h(ctx, c, params)/' internal/peer TestPanicInHandlerIsRecovered
mutant fault-gossip internal/gossip/exchange.go 's/if err := guard\.Do\(func\(\) error \{ return n\.handle\(b, addr\) \}\); err/if err := n.handle(b, addr); err/; s/.*internal\/guard"\n//' internal/gossip TestPanicDoesNotStopReceiver
mutant fault-row internal/daemon/upstreamrows.go 's/err := guard\.Do\(func\(\) \(err error\) \{\n\t*r, err = u\.decode\(row\.Name, row\.Value\)\n\t*return err\n\t*\}\)/r, err := u.decode(row.Name, row.Value)/; s/\t\tvar r fleet\.Record\n//; s/.*internal\/guard"\n//' internal/daemon TestPanicWhileDecodingRow
mutant fault-generation internal/sidecar/server.go 's/err := guard\.Do\(func\(\) error \{\n\t\ts\.runner\.stream\(ctx, g, p\)\n\t\treturn nil\n\t\}\)/err := ctx.Err()\n\ts.runner.stream(ctx, g, p)/; s/.*internal\/guard"\n//' internal/sidecar TestPanicInAGeneration

mutant first-reads internal/directory/directory.go 's/retryDelayMax = 2 \* time\.Second/retryDelayMax = time.Hour/; s/retryDelayMin = 100 \* time\.Millisecond/retryDelayMin = time.Hour/' internal/directory TestFailedFirstReadsAreRetriedSoon
mutant first-row internal/directory/begin.go 's/\t\t\td\.retry\(ctx, d\.renew\)\n\t\t\td\.retry\(ctx, d\.read\)\n//' internal/directory TestFailedFirstReadsAreRetriedSoon

# Rate limits of upstreams.
limits=internal/limits
mutant limits-part $limits/grant.go 's/if 2\*live > s\.entryCount \{/if true {/' $limits TestGrantsOnBothSidesOfAPartition
mutant limits-begin $limits/grant.go 's/l\.grantsFrom = s\.now\(\)\.Add\(s\.others\.BroadcastTime\(\)\)/l.grantsFrom = s.now()/' $limits TestNewGranterWaitsAndStartsEmpty
mutant limits-other-granter $limits/grant.go 's/case s\.granterOf\(observed\.Start, l\) != s\.name:/case s.granterOf(observed.Start, l) == "":/' $limits TestAnswers
mutant limits-asked-twice $limits/grant.go 's/if !repeated \{/if _ = repeated; true {/' $limits TestAnswers
mutant limits-leaves $limits/peers.go 's/add\(s\.name, s\.stopping\)/add(s.name, false)/' $limits TestStoppingGranterHandsOver
mutant limits-all-stop $limits/peers.go 's/return stopping\n/return []string{s.name}\n/' $limits TestEntriesThatStopTogetherKeepTheLimit
mutant limits-least $limits/grant.go 's/max\(l\.rate\*s\.share\(\), minGrantRate\)/l.rate * s.share()/' $limits TestGrantedRate
mutant limits-not-listed $limits/grant.go 's/\tif s\.entryCount == 0 \{\n\t\treturn 0\n\t\}\n//' $limits TestGrantedRate
mutant limits-order internal/roster/rendezvous.go 's/return mix\(h\.Sum64\(\)\)/return h.Sum64()/' $limits TestGrantersAreSpread
mutant limits-closed $limits/permit.go 's/if now\.Before\(l\.closedUntil\) \{/if now.IsZero() {/' $limits TestNoAnswer
mutant limits-late-head $limits/limits.go 's/s\.noteNoLimit\(incarnation, sent, ownAnswer\)/s.noteNoLimit(incarnation, s.now(), ownAnswer)/' $limits TestLimitInForce
mutant limits-most $limits/limits.go 's/full := len\(s\.limits\) >= maxLimits/full := false/' $limits TestLimitsAreBounded
mutant limits-old-word $limits/message.go 's/out\.NoLimitAt = timeAtAge\(sent/out.NoLimitAt = timeAtAge(now/' $limits TestDecodeObservation
mutant limits-settled $limits/peers.go 's/ \|\| !p\.acknowledged \|\| p\.wantsAck//' $limits TestRestartedEntryAgreesOnTheGranter
mutant limits-asks $limits/peers.go 's/ \|\| p\.wantsAck//' internal/gossip TestReceiversOfLimitMessages
mutant limits-earlier-life $limits/peers.go 's/return known && p\.incarnation == e\.Life/return known && p.incarnation != ""/' $limits TestGranterCandidates
mutant limits-silent internal/gossip/limits.go 's/ && now\.Sub\(p\.Heard\) <= staleAfter//; s/staleAfter, now := n\.staleAfter\(\), n\.now\(\)/_ = n.staleAfter()/' internal/gossip TestStalePeersAreNotLive
mutant limits-stops $limits/peers.go 's/add\(e\.Name, e\.Stops\)/add(e.Name, false)/' $limits TestGranterCandidates
mutant limits-lay internal/gossip/limits.go 's/at := n\.start\.Add\(time\.Duration\(e\.Sent\) \+ time\.Duration\(e\.HeldUS\)\*time\.Microsecond\)/at := n.now()/' internal/gossip TestSentNotBefore
mutant limits-no-permit $gateway/permit.go 's/err = g\.limits\.Take\(ctx, u\.ID\)/err = ctx.Err()/' $gateway TestRateLimitOfUpstreamIsObeyed
mutant limits-copy $gateway/continue.go 's/return s\.g\.awaitPermit\(ctx, at\.ID, s\.g\.now\(\)\.Add\(resumeWait\)\)/return nil/' $gateway TestMovedGenerationNeedsAPermit
mutant limits-target $gateway/choose.go 's/g\.chooseTargetAmong\(s, from, g\.excludeLimited\(exclude\)\)/g.chooseTargetAmong(s, from, exclude)/' $gateway TestMovesPreferUnlimitedEngines
mutant limits-other-answer $gateway/limits.go 's/if h\.header\.Get\(g\.proto\.IDHeader\) != rq\.call\.ID \{/if h.header == nil {/' $gateway 'TestLimitInAnswerToAnotherRequest|TestAnswersThatEndALimit'
mutant limits-failure $gateway/limits.go 's/ && h\.complete \{/ {/' $gateway TestAnswersThatEndALimit
mutant limits-broken-answer $gateway/call.go 's/r\.final\(\) && a\.Clean\(\)/r.final()/' $gateway TestAnswersThatEndALimit
mutant limits-broken-stream $gateway/attempt.go 's/answer\.Framed && g\.proto\.Complete/g.proto.Complete/' $gateway TestStreamsThatEndALimit
mutant link-surplus internal/link/link.go 's/a\.Framed && a\.conn\.r\.Buffered\(\) == 0/a.Framed/' internal/link TestCleanAnswers
mutant link-framed internal/link/link.go 's/a\.eof && a\.Framed && /a.eof \&\& /' internal/link TestCleanAnswers
mutant limits-stop $gateway/stop.go 's/\tg\.limits\.StopGranting\(\)\n//' $gateway TestStoppingEntryHandsOverGranting
mutant limits-wait $gateway/permit.go 's/if at\.After\(until\) \|\|/if !at.IsZero() ||/' $gateway TestResumedGenerationWaitsForAPermit
mutant limits-callers platform/caller.go 's/headerNotRun, headerLimit,/headerNotRun,/' platform TestLimitHeaderOfRequestAndResponse
mutant limits-come-back $gateway/call.go 's/if at := g\.proto\.RetryAt\(header, g\.now\(\)\); !at\.IsZero\(\)/if at := g.proto.RetryAt(header, g.now()); at.IsZero()/' $gateway TestRetryTimeOfUpstreamIsObeyed
mutant limits-sidecar-call internal/sidecar/calls.go 's/if opensAt, ok := s\.limiter\.takePermit\(ctx\); !ok \{/if opensAt, ok := s.limiter.opensAt(), true; !ok {/' internal/sidecar TestServiceGetsNoMoreCallsThanItsRateLimit
mutant limits-sidecar-once internal/sidecar/calls.go 's/if opensAt, ok := s\.limiter\.awaitPermit\(ctx, s\.permitDeadline\(p\)\); !ok \{/if opensAt, ok := s.permitDeadline(p), true; !ok {/' internal/sidecar TestCallWaitsForAPermit
mutant limits-sidecar-queued internal/sidecar/server.go 's/if opensAt, ok := s\.limiter\.takePermit\(context\.Background\(\)\); !ok \{/if opensAt, ok := s.limiter.opensAt(), true; !ok {/' internal/sidecar TestQueuedGenerationNeedsAPermit
mutant limits-sidecar-start internal/sidecar/limit.go 's/l\.set\.Take\(ctx, l\.incarnations\.current\(\)\)/l.set.Take(ctx, l.incarnations.sidecarIncarnation+"#0")/' internal/sidecar TestRateLimitEndsWithItsIncarnation

spread=internal/gossip/spread.go
members=internal/gossip/members.go
mutant start-asks internal/relay/store.go 's/\tfor range maxAsked \{\n\t\tp, ok, _ := s\.source\(\)\n\t\tif !ok \{/\tfor range maxAsked {\n\t\tp, ok, _ := s.source()\n\t\tif ok || !ok {/' internal/relay TestInitialListAsksDelegate
mutant start-waits internal/relay/store.go 's/\ts\.awaitPeerList\(ctx\)\n//' internal/relay TestInitialListWaitsForPeers
mutant start-held internal/relay/server.go 's/\t\tcase <-signals\.changed:\n\t\tcase <-end\.C:\n\t\t\treturn nil, err/\t\tcase <-signals.confirmed:\n\t\tdefault:\n\t\t\treturn nil, err/' internal/relay TestInitialListAsksDelegate
mutant start-together internal/directory/begin.go 's/sleep\(ctx, randomUpTo\(d\.settings\.FirstReadSpread\)\)/_ = d.settings.FirstReadSpread/' internal/directory TestHundredsThatStartTogether
mutant start-rows internal/directory/begin.go 's/\t\td\.awaitRenewalRequest\(ctx, randomUpTo\([^\n]*\n//; s/\/\/ awaitRenewalRequest returns/var _ = (*Directory).awaitRenewalRequest\n\n\/\/ awaitRenewalRequest returns/' internal/directory TestHundredsThatStartTogether
mutant zone-delegates internal/roster/roster.go 's/return entries > maxDirectEntries/return entries < 0/' internal/relay TestRelayTopology
mutant zone-size internal/roster/roster.go 's/cmp\.Compare\(b\.Size\.Cores, a\.Size\.Cores\), //' internal/roster TestDelegatesAreTheLargest
mutant zone-more internal/roster/roster.go 's/\(entries\+entriesPerDelegate-1\)\/entriesPerDelegate/0*entries/' internal/roster TestEntriesPerDelegateAreBounded
mutant zone-confirmed internal/relay/server.go 's/case <-signals\.confirmed:/case <-chan struct{}(nil):/' internal/relay TestConfirmationEndsLongPoll
mutant zone-turns internal/relay/turns.go 's/maxTurnTakers = 32/maxTurnTakers = 1 << 20/' internal/relay TestTurnsAreLimited
mutant appears-to-all internal/gossip/exchange.go 's/n\.greetSoon\(m\.body\.From\)/n.Broadcast()/' internal/gossip TestEntryThatAppears
mutant urgent-direct $spread 's/if !n\.usesDelegates\(\) \{/if n.usesDelegates() || true {/' internal/gossip TestUrgentMessagesAreBounded
mutant urgent-fallback $spread 's/\t\tn\.Broadcast\(\)\n\t\tif n\.retryForward\(\) \{\n\t\t\tn\.SendNow\(\)\n\t\t\}/\t\t_ = n.retryForward/' internal/gossip TestStateThatNoDelegateForwards
mutant urgent-ahead internal/gossip/bundle.go 's/ \|\| n\.isFromFuture\(p, m\.body\.Sent\)//' internal/gossip TestInvalidForwardedStates
mutant urgent-life internal/gossip/bundle.go 's/ \|\| p\.incarnation != m\.body\.Life \|\| m\.body\.Sent/ || m.body.Sent/' internal/gossip TestInvalidForwardedStates
mutant silent-untold $spread 's/\tif n\.delegate \{\n\t\tn\.reportSilent\(now\)\n\t\}\n/\t_ = n.reportSilent\n/' internal/gossip TestSilentEntriesAreForgotten
mutant silent-believed internal/gossip/silent.go 's/min\(time\.Duration\(reportedSilentIntervals\*float64\(every\)\), forget\)/min(0*every, forget)/' internal/gossip TestFalseSilenceReport
mutant named-bounded $members 's/case !known && pending < maxUnverified:/case !known:/' internal/gossip TestPeerThatClaims
mutant named-forgotten $members 's/\t\t\tdelete\(n\.peers, name\)\n/\t\t\t_ = name\n/' internal/gossip TestPeerThatClaims

mutant answer-leaving $gateway/notice.go 's/if n\.Leaving && g\.fleet\.AnsweredLeaving\(from\.ID\)/if false \&\& g.fleet.AnsweredLeaving(from.ID)/' internal/gateway TestUpstreamThatAnnouncesLeaving
mutant answer-rest $gateway/notice.go 's/if !n\.BackOffUntil\.IsZero\(\)/if false/' internal/gateway TestUpstreamInBackOffGetsNoRequests
mutant rest-candidate $gateway/choose.go 's/ && !u\.InBackOff\(now\) \{/ {/' internal/gateway TestAllUpstreamsInBackOff
mutant rest-at-once $gateway/permit.go 's/if err != nil && g\.allInBackOff\(service, exclude\)/if false/' internal/gateway TestAllUpstreamsInBackOff
mutant rest-latest internal/fleet/backoff.go 's/m\.backOffUntil = later\(m\.backOffUntil, (.*)\)\n/m.backOffUntil = $1\n/' internal/fleet TestLatestBackOffApplies
mutant rest-one internal/fleet/backoff.go 's/m\.InBackOff\(s\.now\(\)\) && m\.backOffProbed/false/' internal/fleet TestOneProbePerBackOff
mutant rest-order internal/placement/returns.go 's/\tr\.next\[service\] = at\.Add\(RetryInterval\)\n//' internal/placement TestCallersRetryInOrder
mutant leaving-peer internal/fleet/set.go 's/s\.markLeaving\(id, entry, true\)/s.markLeaving(id, entry, false)/' internal/fleet TestSelfReportedLeaveIsFinal
mutant leaving-lapsed internal/fleet/set.go 's/if m\.state == Lapsed \{\n\t\t\/\/ The row/if false {\n\t\t\/\/ The row/; s/\tm\.expiresAt = time\.Time\{\}\n\ts\.release/\ts.release/' internal/fleet TestSelfReportedLeaveIsFinal
mutant leaving-told internal/fleet/set.go 's/if recent \|\| !m\.Leaving && unrecorded <= maxUnrecorded/if recent/' internal/fleet TestUnrecordedLeaveStays
mutant leaving-421 platform/caller.go 's/if status == http\.StatusMisdirectedRequest \{\n\t\treturn n/if false {\n\t\treturn n/' platform TestNotice
mutant sidecar-rest internal/sidecar/notice.go 's/if backoffUntil\.After\(n\.backoffUntil\)/if false/' internal/sidecar TestServiceInBackoff
mutant sidecar-leaving internal/sidecar/notice.go 's/\t\tn\.leavingUntil = now\.Add\(leavingTTL\)\n//' internal/sidecar TestLeavingService
mutant sidecar-start internal/sidecar/notice.go 's/if n\.incarnation != incarnation \{/if false {/' internal/sidecar TestBackoffEndsWithItsIncarnation

mutant epoch-changes internal/belief/follower.go 's/case s\.Epoch > f\.epoch && !full:/case false:/' internal/belief TestOnlyReadEpochsConfirm
mutant epoch-version internal/belief/follower.go 's/f\.epoch, f\.version = s\.Epoch, s\.Version/f.epoch, f.version = s.Epoch, max(f.version, s.Version)/' internal/belief TestFollowerConvergesAfterRepeatedRestores
mutant epoch-older internal/belief/follower.go 's/case s\.Epoch != 0 && s\.Epoch < f\.epoch:/case false:/' internal/belief TestOnlyReadEpochsConfirm
mutant epoch-again internal/belief/follower.go 's/\t\tf\.relistAt = f\.settled\n//' internal/belief TestTableIsReadAgain
mutant epoch-pages platform/store.go 's/if rows\.epoch != out\.Epoch \{/if false {/' platform TestListFailsWhenStoreIsRestoredBetweenPages
mutant epoch-log internal/relay/log.go 's/\tif known \{\n\t\tt\.forget/\tif known \&\& false {\n\t\tt.forget/' internal/relay TestEpochsWithEarlierRelease
mutant epoch-asker internal/relay/log.go 's/case !t\.versionsComparable\(epoch\):/case false \&\& !t.versionsComparable(epoch):/' internal/relay TestEpochsWithEarlierRelease
mutant epoch-unstated internal/relay/log.go 's/case epoch == 0 && t\.restored:/case false:/' internal/relay TestEpochsWithEarlierRelease
mutant restored-gone internal/fleet/set.go 's/stale := s\.restoring && m\.state == Leaving/stale := false/' internal/fleet TestFleetAfterTheStoreWasRestored
mutant restored-version internal/fleet/restored.go 's/m\.Version, m\.predatesRestore = 0, true/m.predatesRestore = m.predatesRestore || false/' internal/fleet TestFleetAfterTheStoreWasRestored
mutant restored-next internal/fleet/starts.go 's/overrides := m\.predatesRestore && !s\.restoring/overrides := false/' internal/fleet TestFleetAfterTheStoreWasRestored
mutant restored-zones internal/belief/zones.go 's/if !full \|\| s\.Restored/if !full/' internal/belief TestOperatorsRows
mutant restored-routes internal/belief/routes.go 's/table\.Version\(\) < r\.table\.Version\(\) \{/false {/' internal/belief TestOperatorsRows
mutant behind-kept internal/belief/routes.go 's/r\.olderRow, r\.older = rec\.Version, true/r.olderRow = rec.Version/' internal/belief TestEntryStartedAfterARestore

mutant leaving-unread internal/fleet/starts.go 's/\t\tm\.avoidUntil = s\.now\(\)\.Add\(leavingRecordDelay\)\n//' internal/fleet TestLeaveReportedBefore
mutant head-ahead $store 's/own\.Version > h\.Version \|\| //' internal/rollout TestProcessesAgree
mutant head-accepted $store 's/ \|\| own\.Change == h\.Change && own\.Accepted && !h\.Accepted//' internal/rollout TestAcceptedMark
mutant head-version $store 's/p\.Version != 0 && p\.Version <= inForce/false/' internal/rollout TestRestoreWith
mutant head-change $store 's/otherChange := [^\n]*/otherChange := false/' internal/rollout TestRestoreWith
mutant head-content internal/rollout/restore.go 's/return c\.putObject\(ctx, cfg\.Hash\(\), cfg\.Canonical\(\)\)/return nil/' internal/rollout TestAcceptedMark
mutant head-value internal/rollout/coordinator.go 's/, Expected: before\.Value\}, nil/}, nil/' internal/rollout TestReusedRevision
mutant lease-known internal/lease/lease.go 's/if stored\.Fence >= l\.fence \{/if true {/' internal/lease TestHolderAfter
mutant lease-first internal/lease/lease.go 's/l\.first = previousRevision == 0 && l\.fence == 0/l.first = previousRevision == 0/' internal/lease TestLapsedHolder
mutant lease-lapsed internal/lease/lease.go 's/if now\.Before\(l\.until\) \{/if true {/' internal/lease TestLapsedHolder

mutant held-covered internal/quarantine/verdict.go 's/return o\.withoutCovered\(ambiguous\)/return ambiguous/' $held TestHarmlessRequestCovered
mutant held-covered-alone internal/quarantine/verdict.go 's/ \|\| len\(crashes\) == 0//' $held TestHarmlessRequestCovered
mutant held-told internal/quarantine/verdict.go 's/return !c\.complete \|\| o\.anyOther\(u, incarnation, func\(other \*suspect\) bool \{\n/return o.anyOther(u, incarnation, func(other *suspect) bool {\n/' $held TestNoQuarantineBefore
mutant held-peers internal/quarantine/suspect.go 's/within = peerReportTime/within = 0/' $held TestNoQuarantineBefore
mutant held-bystanders internal/quarantine/verdict.go 's/len\(crashes\) > 1 && !o\.covers\(u, other\)/len(crashes) > 1/' $held TestBystandersDoNotDelay
mutant held-redundant internal/quarantine/verdict.go 's/\t\t\treleaseRedundant\(quarantined\)\n//' $held TestHarmlessRequestReleased
mutant held-indistinguishable internal/quarantine/verdict.go 's/ && other\.ownTrials\(map\[\*suspect\]bool\{u: true\}\) > 0//' $held TestIndistinguishable

mutant port-first-fork internal/standin/port.go 's/\tawaitHandleCheck\(\)\n//' internal/standin TestFreePortBesideFirstFork
mutant port-closed internal/standin/relay.go 's/\t\t_ = c\.Control\([^\n]*\n/\t\t_, _ = c, syscall.Shutdown\n/' internal/standin TestClosedProxyFreesItsPort

mutant answer-cancelled internal/link/link.go 's/if c\.headRead\.Load\(\) \|\| /if true || /' internal/gateway TestNoticeInAnswerOfLosingAttempt

mutant port-fork internal/standin/port.go 's/\tsyscall\.ForkLock\.RLock\(\)\n\tdefer syscall\.ForkLock\.RUnlock\(\)\n/\tsyscall.ForkLock.RLock()\n\tsyscall.ForkLock.RUnlock()\n/' internal/standin TestFreePortBesideForks

routing=internal/routing
mutant retries-restored $routing/window.go 's/restored\.use\(\)\.Extra > w\.earlier\.use\(\)\.Extra \|\| w\.earlier\.use\(\) == \(Use\{\}\)/false/' $routing TestKilledEntry
mutant retries-fewer $routing/window.go 's/case w\.fewerFrom\.IsZero\(\) \|\| n != w\.fewer:/default:\n\t\tw.entries = n\n\tcase false:/' $routing TestEntriesThatLeave
mutant retries-silent $routing/window.go 's/available \+= min\(w\.lendable\(use, reserve\), 0\)/_ = use/' $routing TestBorrowerThatFellSilent
mutant retries-awaits-peers $routing/window.go 's/if w\.awaitsPeers\(now\) \{/if false {/' $routing TestRestartedEntry
mutant retries-seen $routing/window.go 's/use\.Extra = max\(use\.Extra, p\.Extra\)/use.Extra = p.Extra/' $routing TestReportOfNewProcess
mutant retries-reported $routing/window.go 's/use\.Extra = max\(use\.Extra, p\.Extra\)\n//' $routing TestReportCounts
mutant retries-unknown internal/gateway/retries.go 's/if g\.retriesKnown\(\) && b\.TakeExtra/if b.TakeExtra/' internal/gateway TestNewProcess
mutant retries-vouch internal/gateway/retries.go 's/return used, heardLately && \(upForWindow \|\| g\.retriesRestored\.Load\(\)\)/_, _ = heardLately, upForWindow\n\treturn used, true/' internal/gateway TestEntryVouches
mutant retries-vouch-lately internal/gateway/retries.go 's/heardLately := !earlierAt\.IsZero\(\) && now\.Sub\(earlierAt\) < g\.settings\.RetryWindow/heardLately := !earlierAt.IsZero() || upForWindow/' internal/gateway TestEntryVouches
mutant retries-stored-late internal/retryuse/retryuse.go 's/\t\tk\.rec\.Note\(events\.RetryUseRestored, "", "source", "store", "error", err\)\n\t\treturn false/\t\treturn k.restoreStored(ctx)/' internal/retryuse TestNewProcessLearns
mutant retries-ahead internal/retryuse/retryuse.go 's/bucket\{0, 0, int64\(growth\(u\)\)\}/bucket{}/' internal/retryuse TestUseIsStored

reconnect=internal/reconnect
mutant reconnect-repeat $reconnect/reconnect.go 's/next := c\.replace\(first\)/next := first/' $reconnect TestCallWaits
mutant reconnect-others $reconnect/reconnect.go 's/\t\tc\.markSilent\(first\)\n//' $reconnect TestOtherCalls
mutant reconnect-slow $reconnect/reconnect.go 's/latenessFactor\*c\.lateness/0*c.lateness/' $reconnect TestSlowServer
mutant reconnect-write $reconnect/reconnect.go 's/\tif !req\.Repeatable \{/\tif false {/' $reconnect TestWriteIsRepeated
mutant reconnect-server $reconnect/reconnect.go 's/if !used\.reused\(\) && req\.Held == 0 \{/if false {/' $reconnect TestSilentServer
mutant relay-silent internal/relay/call.go 's/callerCancelled\(ctx\) \{\n\t\treturn snap, err/true {\n\t\treturn snap, err/' internal/relay TestChangesAreLate
mutant relay-own-time internal/relay/call.go 's/context\.WithTimeout\(context\.WithoutCancel\(ctx\), d\)/context.WithTimeout(ctx, d)/' internal/relay 'TestSilentStoreUsesUp|TestPeersUseUp'
mutant relay-cancelled internal/relay/call.go 's/\t\tif callerCancelled\(ctx\) \{\n\t\t\tcancel\(\)/\t\tif callerCancelled(ctx) {\n\t\t\t_ = cancel/' internal/relay TestInterruptedCall
mutant relay-turn-order internal/relay/turns.go 's/if turnOrder\(p\.Name\) < own \{/_ = own\n\t\tif p.Name < s.settings.Name {/' internal/relay TestTurnsGoToTheNext
mutant relay-refused internal/relay/store.go 's/ \|\| errors\.Is\(err, peer\.ErrRefused\) \{/ {/' internal/relay TestPeersThatCannotAnswer
mutant reconnect-replaced $reconnect/reconnect.go 's/old\.transport\.CloseIdleConnections\(\)/_ = old/' $reconnect TestReplacedConnections
mutant reconnect-idle internal/platform/httpclient.go 's/f\.transport\.CloseIdleConnections\(\)/_ = f/' internal/platform TestEachSilent

# Streams go on at any software version, or entries do not tell each other which one began them.
mutant software-target $gateway/choose.go 's/return view\.Target\(g\.candidates\(s\.available\(\)/return view.Target(g.candidates(g.fleet.Available(s.rq.service.Name)/' $gateway TestStreamGoesOnAtAnother
mutant software-begun $gateway/software.go 's/s\.software = streamSoftware\{begun: true, version: at/s.software = streamSoftware{version: at/' $gateway TestStreamGoesOnAtAnother
mutant software-caller $gateway/software.go 's/!rq\.call\.ResumesStream\(\)/true/' $gateway 'TestCallerResumes|TestStreamIsResumed'
mutant software-unknown $gateway/software.go 's/len\(versions\) != 1/len(versions) == 0/' $gateway TestResumedStreamOfUnknown
mutant software-restart $gateway/continue.go 's/\ts\.noteRestart\(\)\n//' $gateway TestRestartWithOther
mutant software-copy $gateway/continue.go 's/ && s\.software\.fits\(held\.at\)//' $gateway TestRowOfAnEngine
mutant origin-handover internal/origin/origin.go 's/if before != incarnation \{/if before != before {/' internal/origin TestStartedEntries
mutant origin-report internal/origin/origin.go 's/\t\ts\.peers\.Send\(name, m\)\n\t\}\n\}\n\n\/\/ store/\t\t_ = name\n\t\t_ = m\n\t}\n}\n\n\/\/ store/' internal/origin TestOriginOf

# A process that has just started takes what it knows for all there is, or what is stored costs too many calls.
originstore=internal/originstore
mutant software-young $gateway/software.go 's/followed < longest/followed < 0/' $gateway TestProcessThatHasJustStarted
mutant software-gap internal/fleet/software.go 's/at\.Sub\(s\.followedUntil\) > maxFollowGap/false/' internal/fleet TestFollowedSince
mutant software-restored internal/fleet/software.go 's/\ts\.followedSince = time\.Time\{\}\n//' internal/fleet TestFollowedSince
mutant software-stored-first $gateway/software.go 's/!followed \|\| since\.After\(stored\.AsOf\)/!followed || since.IsZero()/' $gateway TestProcessThatHasJustStarted
mutant software-stored-new $gateway/software.go 's/ \|\| others \|\|/ ||/; s/\tothers := /\t_ = /' $gateway TestProcessThatHasJustStarted
mutant software-stored-kept $gateway/software.go 's/ \|\| stored\.KeptFor < longest//' $gateway TestProcessThatHasJustStarted
mutant software-stored-several $gateway/software.go 's/len\(stored\.Versions\) != 1/len(stored.Versions) == 0/' $gateway TestProcessThatHasJustStarted
mutant software-confirm $gateway/software.go 's/\ts\.g\.peers\.StoredOrigins\.Confirm\(ctx, o\)\n//' $gateway TestFirstEventWaits
mutant origin-own internal/origin/origin.go 's/\tr\.own = r\.own \|\| s\.records\[k\]\.own\n//' internal/origin TestOwnStreams
mutant stored-expired $originstore/row.go 's/ \|\| until <= clock//' $originstore TestStreamsOfLost
mutant stored-spoilt $originstore/originstore.go 's/\tt\.unreadable = true\n//' $originstore TestStreamsOfLost
mutant stored-unnamed $originstore/originstore.go 's/r\.Name == "" \|\| //' $originstore TestStreamsOfLost
mutant stored-wait $originstore/originstore.go 's/v\.seenAt\.Add\(confirmTimeout\)$/k.now().Add(confirmTimeout)/m' $originstore TestStreamsWait
mutant stored-turns $originstore/originstore.go 's/time\.Duration\(k\.rank\(softwareRow\(o\)\)\) \* writerDelay/0/; s/if k\.rank\(softwareRow\(o\)\) > 0 \{/if false {/' $originstore TestCallsToTheStore
mutant stored-at-once $originstore/originstore.go 's/now\.Add\(rand\.N\(k\.peers\.StoreInterval\(\)\)\)/now/' $originstore TestCallsToTheStore
mutant stored-interval $originstore/originstore.go 's/k\.nextWrite = k\.now\(\)\.Add\(k\.peers\.StoreInterval\(\)\)/k.nextWrite = k.now()/' $originstore TestCallsToTheStore
mutant stored-one-version $originstore/originstore.go 's/count\[o\.Service\] > 1/count[o.Service] > 0/' $originstore TestCallsToTheStore
mutant stored-removed-early $originstore/originstore.go 's/ >= removalMargin/ >= 0/' $originstore TestVersionsThatAreGone
mutant stored-removed-young $originstore/originstore.go 's/k\.now\(\)\.Sub\(since\) < k\.settings\.Retention\+removalMargin/since.IsZero()/' $originstore TestVersionsThatAreGone
mutant stored-removed-blindly $originstore/originstore.go 's/if err := k\.store\.RemoveVersion\(ctx, k\.settings\.Table, r\.Name, r\.Version\)/if err := k.store.Remove(ctx, k.settings.Table, r.Name)/' $originstore TestVersionsThatAreGone
mutant stored-restored $originstore/originstore.go 's/\tk\.written = nil\n//' $originstore TestRowsAreWrittenAgain
mutant stored-crossed $originstore/originstore.go 's/if k\.restores != restores \{/if false \&\& k.restores != restores {/' $originstore TestRowsAreWrittenAgain
mutant stored-bound $originstore/row.go 's/maxNameBytes = 1 << 10/maxNameBytes = 256/' $originstore TestRowsThatCannot
mutant stored-spoilt-gone $originstore/originstore.go 's/\tk\.removeSpoilt\(ctx\)\n//' $originstore TestRowsThatCannot
mutant stored-expired-blindly $originstore/originstore.go 's/_ = k\.store\.RemoveVersion\(ctx, k\.settings\.Table, r\.Name, r\.Version\)/_ = k.store.Remove(ctx, k.settings.Table, r.Name)/' $originstore TestExpiredRow
mutant stored-away $originstore/originstore.go 's/k\.now\(\)\.Before\(nextRead\)/false \&\& nextRead.IsZero()/' $originstore TestReadsWhile
mutant stored-after $originstore/originstore.go 's/after\.Before\(recent\)/true/' $originstore TestReadsWhile
mutant stored-unread $gateway/software.go 's/; !followed \|\| since/; (followed || !followed) \&\& since/' $gateway TestProcessThatHasJustStarted
mutant software-quiet internal/fleet/software.go 's/if !slices\.Contains\(out\[m\.Service\], m\.Software\) \{/if false {/' internal/fleet TestSoftwareOfQuiet
mutant stored-epoch $originstore/originstore.go 's/ && w\.Epoch == s\.Epoch//' $originstore TestTableThatWasJustBegun
mutant stored-kept $originstore/originstore.go 's/if k\.settings\.FirstDeployment && restores == 0/if restores == 0/' $originstore TestTableThatWasJustBegun
mutant stored-needed $originstore/originstore.go 's/interval = min\(interval, neededReadInterval<<min\(v\.reads, 16\)\)//' $originstore TestFirstStreams
mutant stored-version platform/store.go 's/Key: name, Ver: version/Key: name/' platform TestWrites

# Prompt parts are no suspects, or harmless ones are taken for bad ones.
quarantine=internal/quarantine
mutant part-suspects $quarantine/run.go 's/for _, p := range r\.parts \{\n\t\ts\.noteLostResponse/for _, p := range r.parts[:0] {\n\t\ts.noteLostResponse/' $quarantine TestPartWithDifferent
mutant part-served $quarantine/run.go 's/for _, p := range r\.parts \{\n\t\ts\.servePart/for _, p := range r.parts[:0] {\n\t\ts.servePart/' $quarantine TestPartWithDifferent
mutant part-one-request $quarantine/partverdict.go 's/ && differentRequests\(u, suspects\)//' $quarantine TestPartWithDifferent
mutant part-indistinguishable $quarantine/part.go 's/ && s\.hasIndistinguishable\(u, parts\)//' $quarantine 'TestPartWithDifferent|TestTrialTells'
mutant part-redundant $quarantine/partverdict.go 's/\t\t\treleaseRedundantParts\(quarantined\)\n//' $quarantine TestPartWithDifferent
mutant part-repeat $quarantine/run.go 's/s\.suspicion\(u\) > maxRetryCrashes \{/s.suspicion(u) < 0 {/' $quarantine TestRequestWithSuspected
mutant part-names $quarantine/message.go 's/w\.wireAccount\(\)/w.Account/' $quarantine TestPartsAreReported
mutant part-other-causes $quarantine/partverdict.go 's/return len\(moments\) > maxOtherMoments\*n/return false/' $quarantine TestHarmlessParts -rig.seeds=6

memory=internal/membudget
mutant memory-limit $memory/budget.go 's/if n > limit-b\.used \{/if n < 0 {/' $memory TestReserve
mutant memory-small $memory/holder.go 's/return h\.budget\.limit - h\.budget\.limit\/smallPart/return h.budget.limit/' $memory TestPartForSmallHolders
mutant memory-in-vain $memory/holder.go 's/ \|\| n > h\.usableLimit\(n\)-\(h\.budget\.used-h\.budget\.evictable\(h, now, unread\)\)/ || h.budget.evictable(h, now, unread) == 0/' $memory TestEviction
mutant memory-largest $memory/budget.go 's/h\.size > largest\.size/h.size < largest.size/' $memory TestEviction
mutant memory-closed $memory/holder.go 's/\th\.closed = true\n/\t_ = h.closed\n/' $memory TestHolderLifetime
mutant memory-log $memory/budget.go 's/\tcase b\.used < b\.limit\/availablePart:/\tcase true:/' $memory TestUpdate
mutant memory-setting internal/daemon/gatewaysettings.go 's/if !\(s\.MemoryMB >= 0 && /if !(/' internal/daemon TestMemorySetting
mutant memory-swept internal/daemon/gatewaystore.go 's/\t\tb\.gateway\.SweepMemory\(\)\n//' internal/daemon TestMemoryIsSwept
mutant memory-response $gateway/buffered.go 's/\t\tif err := g\.growMemory\(rq, size\)/\t\tif err := g.growMemory(rq, 0)/' $gateway TestUnreadResponsesAreBounded
mutant memory-body $gateway/buffered.go 's/g\.growMemory\(rq, larger\)/g.growMemory(rq, 0)/' $gateway TestBodyThatDoesNotFit
mutant memory-new $gateway/buffered.go 's/g\.growMemory\(rq, firstBuffer\)/g.growMemory(rq, 0)/' $gateway TestNewRequestsAreRefusedWithoutMemory
mutant memory-announced $gateway/buffered.go 's/larger := bufferFor\(length, 2\*int64\(cap\(b\)\)\)/larger := max(length+1, 2*int64(cap(b)))/; s/firstBuffer = 4 << 10/firstBuffer = 1 << 10/' $gateway TestSlowSendersHoldWhatArrived
mutant memory-arrived $gateway/buffered.go 's/for size := bufferFor\(length, firstBuffer\);/for size := max(length, firstBuffer);/' $gateway TestSlowUpstreamsHoldWhatArrived
mutant memory-held $gateway/buffered.go 's/\t\t\treturn b, nil/\t\t\trq.memory.Shrink(int64(cap(b)))\n\t\t\treturn b, nil/' $gateway TestUpstreamThatReadsSlowly
mutant memory-evict $gateway/memory.go 's/\t\t_ = http\.NewResponseController\(w\)\.SetWriteDeadline\(time\.Unix\(1, 0\)\)/\t\t_ = w/' $gateway 'TestEvictionOfUnreadResponse|TestWriteTimeout'
mutant memory-evict-early $memory/budget.go 's/func \(b \*Budget\) evictLargest\(except \*Holder, now time\.Time, unread time\.Duration\) \{/$&\n\tunread = 0/' $memory TestEviction
mutant memory-unread $memory/holder.go 's/return h\.awaiting && now\.Sub\(h\.lastRead\) >= unread/return h.awaiting/' $gateway TestEvictionOfUnreadResponse
mutant memory-read $gateway/buffered.go 's/\t\trq\.memory\.NoteRead\(g\.now\(\)\)\n//' $gateway TestEvictionOfUnreadResponse
mutant memory-timeout $gateway/memory.go 's/g\.memory\.EvictUnread\(now, callerWriteTimeout\)/0*len(now.String())/' $gateway TestWriteTimeout
mutant memory-blame $gateway/call.go 's/\tcase errors\.Is\(r\.err, errMemory\):\n/\tcase errors.Is(r.err, errOtherAnswer) \&\& false:\n/' $gateway TestResponseThatDoesNotFit
mutant memory-repeat $gateway/call.go 's/ctx\.Err\(\) != nil \|\| errors\.Is\(r\.err, errMemory\)/ctx.Err() != nil/' $gateway TestResponseThatDoesNotFit
mutant memory-event $gateway/readahead.go 's/n > a\.counted \{/n > 1<<40 {/' $gateway TestEventThatDoesNotFit
mutant memory-event-returned $gateway/readahead.go 's/\t\ta\.s\.rq\.memory\.Shrink\(a\.counted - n\)\n/\t\tn = a.counted\n/' $gateway TestLongEventReturnsItsMemory
mutant memory-event-blame $gateway/relay.go 's/ && !errors\.Is\(err, errMemory\)//' $gateway TestEventThatDoesNotFit
mutant stream-ahead $gateway/readahead.go 's/\t\t\ta\.start\(write, now\)/\t\t\t_ = a.start/' $gateway TestStreamIsReadAhead
mutant stream-ahead-bound $gateway/readahead.go 's/a\.queued\+size > maxReadAhead \|\| //' $gateway TestReadAheadIsBounded
mutant stream-ahead-memory $gateway/readahead.go 's/ \|\| !a\.s\.rq\.memory\.Grow\(size\)/ || a.s.rq.memory.Evicted()/' $gateway TestReadAheadIsBounded
mutant stream-ahead-rest $gateway/readahead.go 's/a\.rest = append\(bytes\.Clone\(([^\n]*)\), a\.rest\.\.\.\)/_ = bytes.Clone($1)/' $gateway TestCallerThatReadsInTurns
mutant stream-ahead-buffer $gateway/readahead.go 's/\ta\.reader = newEventReader\(a\)\n\ta\.replaced/\told := a.reader\n\ta.reader = newEventReader(a)\n\ta.reader.buf = old.buf\n\ta.replaced/' $gateway TestReadAheadKeepsWhatIsWritten
mutant stream-ahead-last $gateway/readahead.go 's/\tif len\(a\.queue\) > 0 \{/\tif len(a.queue) > 0 \&\& a.fetching {/' $gateway TestStreamIsReadAhead
mutant stream-ahead-end $gateway/readahead.go 's/\t\t\ta\.s\.endCheck = &closed/\t\t\t_ = closed/' $gateway TestEndOfUnframedAnswer
mutant stream-ahead-leave $gateway/readahead.go 's/\t\ta\.s\.cancel\(\)/\t\t_ = a.s.cancel/' $gateway TestEvictionEndsSilentStream
mutant stream-ahead-evict $gateway/readahead.go 's/\ta\.s\.rq\.memory\.Await\(now\)/\t_ = now/; s/\t\tmemory\.Await\(a\.s\.g\.now\(\)\)\n//' $gateway TestWaitingEventsAreEvicted

# Upstreams that send without end fill the memory, or sound answers are refused.
bounds=internal/link/bounds.go
mutant bound-head $bounds 's/\tr\.limit\(sizebound\.MaxHeadBytes\)\n//' internal/link TestEndlessAnswers
mutant bound-informational $bounds 's/for range maxInformational \+ 1 \{/for {/; s/\treturn nil, ErrTooLong\n\}\n\n\/\/ skip/}\n\n\/\/ skip/' internal/link TestInformationalAnswers
mutant bound-skipped $bounds 's/\tr\.limit\(most\)\n/\t_ = most\n/' internal/link TestEndlessAnswers
mutant bound-skipped-number internal/link/link.go 's/for late := range maxSkipped \+ 1 \{/for late := range 1 << 30 {/' internal/link TestEndlessAnswers
mutant bound-announced $bounds 's/if a\.Length > most \{/if false {/' internal/link TestAnnouncedLength
mutant bound-framing $bounds 's/\ta\.Limit\(most \+ 1 \+ most\/2\)\n//' internal/link TestEndlessAnswers

# Heads of many short lines take several times their bytes.
mutant bound-lines internal/sizebound/sizebound.go 's/return l\.count <= MaxHeadLines/return true/' internal/sizebound TestLines
mutant bound-lines-informational internal/sizebound/sizebound.go "s/l\.code >= '2' && l\.code <= '9'/true/" internal/sizebound TestLines
mutant bound-lines-body internal/sizebound/sizebound.go 's/\t\tl\.ended = true\n/\t\tl.inHeader = false\n/' internal/sizebound TestLines
mutant bound-lines-parsed internal/sizebound/sizebound.go 's/return n <= MaxHeadLines/return true/' internal/sizebound TestWithin
mutant bound-head-lines $bounds 's/!b\.lines\.Add\(p\[:n\]\)/false/' internal/link TestHeaderLines
mutant bound-head-lines-read $bounds 's/!r\.source\.lines\.Add\(buffered\)/len(buffered) < 0/' internal/link TestHeaderLines
mutant bound-sidecar-lines internal/sidecar/bounds.go 's/!c\.lines\.Load\(\)\.Add\(b\[:n\]\)/false/' internal/sidecar TestEndlessAnswers
mutant bound-sidecar-wrapped internal/sidecar/bounds.go 's/\tif c := b\.conn\.Load\(\); c == nil /\tif c := b.conn.Load(); true || c == nil /' internal/sidecar TestHeaderLinesOfLaterAnswers
mutant bound-sidecar-lines-next internal/sidecar/bounds.go 's/(c\.left\.Store\(sizebound\.MaxHeadBytes \+ n\)\n)\t\t\tc\.lines\.Store[^\n]*\n/$1/' internal/sidecar TestHeaderLinesOfLaterAnswers
mutant bound-platform-lines internal/platform/httpclient.go 's/!sizebound\.Within\(resp\.Header\)/false/' internal/platform TestEndlessResponses
mutant bound-store-lines internal/reconnect/reconnect.go 's/!sizebound\.Within\(resp\.Header\)/false/' internal/reconnect TestEndlessAnswers
mutant bound-ctl-lines internal/ctl/api.go 's/!sizebound\.Within\(resp\.Header\)/false/' internal/ctl TestEndlessResponses

mutant bound-event $gateway/eventreader.go 's/if size > maxEventBytes \{/if false {/' $gateway TestLongEvents
mutant bound-events $gateway/eventreader.go 's/if b\.used\.Add\(n\) <= maxLargeEventBytes \{/if b.used.Add(n) >= 0 {/' $gateway TestLongEvents
mutant bound-events-returned $gateway/eventreader.go 's/\te\.budget\.used\.Add\(-e\.reserved\)\n//' $gateway 'TestLongEvents|TestEventsWithin'
mutant bound-event-wire $gateway/eventreader.go 's/\t\tl\.Limit\(maxEventWireBytes\)\n/\t\t_ = l\n/' $gateway TestEndlessAnswerIsBroken
mutant bound-event-wire-ahead $gateway/readahead.go 's/\t\tl\.Limit\(n\)\n/\t\t_ = l\n/' $gateway TestEndlessAnswerIsBroken
mutant bound-unannounced $gateway/call.go 's/\t\treturn unannounced\n/\t\treturn maxBuffered\n/' $gateway TestEndlessAnswerIsBroken
mutant bound-unannounced-error $gateway/call.go 's/\t\treturn maxUnannouncedError\n/\t\treturn maxBuffered\n/' $gateway TestEndlessAnswerIsBroken

sidecar=internal/sidecar
mutant bound-sidecar-head $sidecar/bounds.go 's/\tt\.MaxResponseHeaderBytes = sizebound\.MaxHeadBytes\n//; s/return 0, sizebound\.ErrTooLong/return c.Conn.Read(b)/' $sidecar TestEndlessAnswers
mutant bound-sidecar-wire $sidecar/bounds.go 's/return 0, sizebound\.ErrTooLong/return c.Conn.Read(b)/' $sidecar TestEndlessAnswers
mutant bound-sidecar-event $sidecar/bounds.go 's/\tb\.bound\.limit\(maxEventWireBytes\)\n/\t_ = b.bound\n/' $sidecar TestAnswersWithin
mutant bound-sidecar-events $sidecar/bounds.go 's/b\.budget\.Add\(more\) > maxLargeEventBytes/b.budget.Add(more) < 0/' $sidecar TestManyLongEvents
mutant bound-process-head internal/sizebound/sizebound.go 's/MaxHeadBytes = 64 << 10/MaxHeadBytes = 64 << 20/' internal/scenario TestEndlessResponses
mutant bound-process-event $sidecar/bounds.go 's/maxEventBytes     = 1 << 20/maxEventBytes     = 64 << 20/; s/maxLargeEventBytes = 2 << 20/maxLargeEventBytes = 640 << 20/' internal/scenario TestEndlessResponses
mutant bound-sidecar-body $sidecar/calls.go 's/\t\treturn maxUnannounced\n/\t\treturn maxAnswer\n/' $sidecar TestEndlessAnswers

mutant bound-platform-head internal/platform/httpclient.go 's/\ttransport\.MaxResponseHeaderBytes = sizebound\.MaxHeadBytes\n//' internal/platform TestEndlessResponses
mutant bound-platform-body internal/platform/httpclient.go 's/\tresp\.Body = &boundedBody[^\n]*\n/\t_ = boundedBody{left: most}\n/' internal/platform 'TestEndlessResponses|TestClientsRead'
mutant bound-platform-object internal/platform/objects.go 's/newHTTPClient\(maxObjectBytes\)/newHTTPClient(maxBodyBytes)/' internal/platform TestLongObject
mutant bound-store-head $reconnect/reconnect.go 's/\t\tt\.MaxResponseHeaderBytes = sizebound\.MaxHeadBytes\n//' $reconnect TestEndlessAnswers
mutant bound-store-body $reconnect/body.go 's/case int64\(len\(b\)\) > c\.settings\.MaxBody:/case false:/; s/min\(2\*int64\(cap\(b\)\), c\.settings\.MaxBody\+1\)/2*int64(cap(b))/; s/\.maxLargeBytes\(\) \{/.maxLargeBytes()<<10 {/' $reconnect TestEndlessAnswers
mutant bound-store-bodies $reconnect/body.go 's/c\.largeBytes\.Add\(more\) > c\.settings\.maxLargeBytes\(\)/c.largeBytes.Add(more) < 0/' $reconnect TestLongAnswersAtOnce
mutant bound-store-bodies-returned $reconnect/body.go 's/c\.largeBytes\.Add\(-counted\)/_ = counted/' $reconnect TestLongAnswersAtOnce
mutant bound-store-cut $reconnect/body.go 's/case errors\.Is\(err, io\.EOF\):/case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):/' $reconnect TestCutAnswer
mutant bound-ctl-head internal/ctl/api.go 's/\ttransport\.MaxResponseHeaderBytes = sizebound\.MaxHeadBytes\n//' internal/ctl TestEndlessResponses
mutant bound-ctl-body internal/ctl/api.go 's/io\.LimitReader\(resp\.Body, most\+1\)/resp.Body/' internal/ctl TestEndlessResponses
mutant bound-ctl-cut internal/ctl/api.go 's/err == nil && int64\(len\(b\)\) > most/false/' internal/ctl TestEndlessResponses

mutant bound-message internal/peer/codec.go 's/if n > maxMessageBytes \{/if false {/' internal/peer TestLongMessageEnds

# The pace of engines: estimates, news of it, and decisions by it.
pace=internal/pace
placement=internal/placement
mutant pace-quantile $pace/pace.go 's/baseQuantile = 0\.25/baseQuantile = 0.95/' $pace TestPaceIgnoresSlowMoments
mutant pace-once $pace/pace.go 's/\t\tif previous, ok := e\.reports\[entry\]/\t\tentry += "+"\n\t\tif previous, ok := e.reports[entry]/; s/\t\te\.reports\[entry\] = r\n\t\tif c/\t\tfor e.reports[entry].Samples > 0 {\n\t\t\tentry += "+"\n\t\t}\n\t\te.reports[entry] = r\n\t\tif c/; s/previous\.Interval == r\.Interval/false/' $pace TestReportsCountOnce
mutant pace-invalid $pace/pace.go 's/r\.Interval > 0 && r\.Interval <= maxInterval && //' $pace TestInvalidReports
mutant pace-samples $pace/pace.go 's/ && r\.Samples > 0 && r\.Samples <= maxSamples//' $pace TestInvalidReports
mutant pace-future $pace/pace.go 's/ && !r\.At\.After\(now\)//' $pace TestInvalidReports
mutant pace-unknown $pace/pace.go 's/if serviceName == "" \{/if false {/' $pace TestUnknownEngineIsIgnored
mutant pace-start $pace/pace.go 's/\t\t\tdelete\(s\.engines, id\)/\t\t\tcontinue/' $pace TestEngineThatStartsAgainIsNew
mutant pace-old $pace/pace.go 's/ && now\.Sub\(e\.at\) <= ReportFor//' $pace TestOnlyRecentEstimatesAreReported
mutant pace-equal $pace/profile.go 's/<= equalSpread\*/<= 0*equalSpread*/' $pace TestEqualPacesChangeNothing
mutant pace-flapping $pace/profile.go 's/ \|\| e\.slow && ratio > normalFactor//' $pace TestSlowEngineIsReported
mutant pace-provisional $pace/pace.go 's/if e\.provisional \{/if false {/' $pace TestFirstPromptShowsPace
mutant pace-first $pace/profile.go 's/max\(slowdown, 1\.0\/maxSlowdown\)/slowdown/' $pace TestFirstPromptIsBounded
mutant pace-message internal/gossip/message.go 's/idle\[:min\(len\(idle\), pace\.MaxReports\)\]/idle/' internal/gossip TestPacesDoNotGrow
mutant pace-slow-caller $gateway/enginepace.go 's/if s\.lastAt\.Sub\(arrived\) > maxMeasuredWrite \|\| /if /' $gateway TestSlowCallerDoesNotSlow
mutant pace-waiting $gateway/enginepace.go 's/arrived\.Sub\(behindAt\) < minEventWait/false/' $gateway TestWaitingEventsDoNotSpeedEngine
mutant pace-caught-up $gateway/enginepace.go 's/arrived\.Sub\(behindAt\) < minEventWait/true/' $gateway TestWaitingEventsDoNotSpeedEngine
mutant pause-own $placement/pause.go 's/lateWeight \* \(own \+ delayed\)/lateWeight * (0*own + delayed)/' $placement TestPlacementByPace
mutant pause-others $placement/pause.go 's/lateWeight \* \(own \+ delayed\)/lateWeight * (own + 0*delayed)/' $placement TestPlacementByPace
mutant pause-start $placement/cost.go 's/ \+ v\.startCost\(c, g\)//' $placement TestLargePromptAvoids
mutant pause-work $placement/cost.go 's/work\*v\.Pace\.Slowdown\(c\.ID\)/work/' $placement TestPlacementByPace
mutant pause-target $placement/target.go 's/g\.events\(\)\) > maxTargetRisk/g.events()) > 1/; s/ \* \(1 - v\.Pace\.LateRisk\(c\.ID, g\.MaxPause, g\.events\(\)\)\)//' $placement TestTargetByPace
mutant relocate-gain $placement/relocate.go 's/minRelocationGain = 0\.2/minRelocationGain = -0.2/' $placement TestRelocate
mutant relocate-known $placement/relocate.go 's/!v\.Pace\.Known\(c\.ID\) \|\| //' $placement TestRelocate
mutant relocate-room $placement/relocate.go 's/ \|\| Room\(c\.Load, g, 0, usable, v\.readToken\(c\)\) != nil//; s/return v\.targetWeight\(c, g\)/return 1/' $placement TestRelocate
mutant replay-costs $placement/cost.go 's/work\*v\.Pace\.Slowdown\(c\.ID\)/work/; s/ \+ v\.pauseCost\(c, g\) \+ v\.startCost\(c, g\)//' $placement/replay TestPacesKeepStreamsInTime
mutant replay-reports $pace/pace.go 's/\tfor id, r := range reports \{/\tclear(reports)\n\tfor id, r := range reports {/' $placement/replay TestPacesKeepStreamsInTime
mutant replay-first-prompt $pace/profile.go 's/v\.typical == 0 \|\| s\.engine\(id\)/true || s.engine(id)/' $placement/replay TestPacesKeepStreamsInTime
mutant replay-equal $pace/profile.go 's/<= equalSpread\*/<= 0*equalSpread*/' $placement/replay TestEqualSpeedsPreferNoEngine/engines_observed_for_a_time
mutant relocate-late $gateway/relocate.go 's/s\.longestPause > s\.rq\.route\.MaxPause \|\| //' $gateway TestStreamLeavesSlowEngine
mutant relocate-one $gateway/relocate.go 's/!g\.relocating\.CompareAndSwap\(false, true\)/g.relocating.Swap(true) \&\& false/' $gateway TestStreamLeavesSlowEngine
mutant relocate-budget $gateway/relocate.go 's/s\.g\.takeExtra\(s\.rq\.service\.Name, relocationReserve\)/true/' $gateway TestStreamLeavesSlowEngine
mutant relocate-budget-once $gateway/relocate.go 's/s\.takeReservedAttempt\(\) \|\| s/s/' $gateway TestRelocationTakesOneAttempt
mutant relocate-moving $gateway/relocate.go 's/ \|\| s\.moving\(\)//' $gateway TestRelocationTakesOneAttempt
mutant relocate-leaving $gateway/relocate.go 's/!known \|\| u\.State\(\) == fleet\.Leaving/!known || u.State() == fleet.Leaving \&\& false/' $gateway TestStreamLeavesSlowEngine

# Engines that cannot be reached.
mutant unreachable-avoided internal/fleet/unreachable.go 's/m\.reachability\.failedAt, m\.reachability\.avoidUntil = now, now\.Add\(unreachableFor\)/m.reachability.failedAt = now/' internal/fleet TestUnreachableUpstreamIsAvoided
mutant unreachable-link internal/fleet/unreachable.go 's/beginCheck\(recheckAfter, /beginCheck(0, /' internal/fleet TestPeerReportsAreChecked
mutant unreachable-report internal/fleet/unreachable.go 's/r\.avoidUntil = now\.Add\(checkFor\)/r.avoidUntil = now.Add(10 * checkFor)/' internal/fleet TestPeerReportsAreChecked
mutant unreachable-future internal/fleet/unreachable.go 's/at\.After\(now\) \|\| //' internal/fleet TestPeerReportsAreChecked
mutant unreachable-route $gateway/attempt.go 's/ctx\.Err\(\) == nil && s\.rq\.route\.MaxPause > 0/ctx.Err() == nil/' $gateway TestOwnAttemptFindsEngineUnreachable
mutant unreachable-again $gateway/unreachable.go 's/\t\t\t\tg\.checkUntilReachable\(u\)\n//' $gateway TestUnreachableEngineOfAnotherEntry
mutant unreachable-silent $gateway/relay.go 's/\t\tsilence\.start\(\)\n//' $gateway TestStreamsOfUnreachableEngine
mutant unreachable-once internal/fleet/unreachable.go 's/beginCheck\(checkFor, /beginCheck(0, /' internal/fleet TestSilentUpstreamIsCheckedOnce
mutant unreachable-repeats $gateway/unreachable.go 's/ && s\.rq\.route\.Repeats\(\)//' $gateway TestStreamsOfUnreachableEngine
mutant unreachable-heard $gateway/relay.go 's/\t\ts\.heardAt\.Store\(arrived\.UnixNano\(\)\)\n//' $gateway TestStreamsOfUnreachableEngine
mutant unreachable-elsewhere $gateway/unreachable.go 's/\t\ts\.abandon\(errUnreachable\)\n//' $gateway TestStreamsOfUnreachableEngine
mutant unreachable-message internal/gossip/message.go 's/ids\[:min\(len\(ids\), fleet\.MaxUnreachable\)\]/ids[:min(len(ids), 100*fleet.MaxUnreachable)]/' internal/gossip TestUnreachableUpstreamsDoNotGrow
mutant unreachable-no-pace internal/gossip/message.go 's/ \|\| len\(w\) >= wireUnreachableFields && w\[4\] == 0 && w\[5\] == 0//' internal/gossip TestUnreachableUpstreamsArrive
# Generations that wait for room that is not kept for urgent ones.
mutant line-arrival $placement/line.go 's/a\.arrived\.Compare\(b\.arrived\)/b.arrived.Compare(a.arrived)/' $placement TestLineOrder
mutant line-rank $placement/line.go 's/a\.rank\.Compare\(b\.rank\), //' $placement TestLineOrder
mutant line-ahead $gateway/wait.go 's/!s\.leavesHeadroom\(gen\) \|\| !line\.Ahead\(rank\)/true/' $gateway TestWaitForRoom
mutant line-first $gateway/wait.go 's/if line\.First\(place\) \{/if true {/' $gateway TestWaitForRoom
mutant line-deadline $placement/line.go 's/maxWaitShare = 0\.25/maxWaitShare = 0.9/; s/return time\.Duration\(maxWaitShare/return time.Duration(0*maxWaitShare/' $gateway TestWaitForRoom
mutant line-leave $gateway/wait.go 's/\tdefer line\.Leave\(place\)\n//' $gateway TestWaitForRoom

# Ages that are counted from a later moment than that at which they were taken.
mutant gossip-echo-first internal/gossip/exchange.go 's/\tto := n\.recipients\(include\)\n//; s/\tlimitMessages := n\.limits\.Round/\tto := n.recipients(include)\n\tlimitMessages := n.limits.Round/' internal/gossip 'TestPausedSender|TestEntriesWithoutStore'
mutant gossip-negative-hold internal/gossip/limits.go 's/time\.Duration\(e\.HeldUS\)/time.Duration(max(e.HeldUS, 0))/' internal/gossip TestAgeFromBeforeTheEcho
mutant gossip-hold-bound internal/gossip/limits.go 's/ \|\| e\.HeldUS < -maxHeldUS \|\| e\.HeldUS > maxHeldUS//' internal/gossip TestEncodedNotBefore
mutant gossip-forward-clock internal/gossip/spread.go 's/\tn\.mu\.Lock\(\)\n\tdefer n\.mu\.Unlock\(\)\n\tnow := n\.now\(\)\n\tout := n\.outbox/\tnow := n.now()\n\tn.mu.Lock()\n\tdefer n.mu.Unlock()\n\tout := n.outbox/' internal/gossip TestStateQueuedWhileForwarding
mutant gossip-send-time internal/gossip/exchange.go 's/n\.writeEncoded\(p\.recipient\(\), version, body, at\)/n.writeEncoded(p.recipient(), version, body, n.now())/' internal/gossip TestLimitMessageCountsFromItsAges
mutant limits-answer-age internal/limits/grant.go 's/encodeObservation\(cached\.observed, now\)/encodeObservation(cached.observed, cached.at)/' internal/gossip TestRepeatedAnswerDoesNotEndLaterLimit
mutant store-clock internal/belief/anchor.go 's/if slices\.Contains\(proven, table\)/if slices.Contains(proven, table) \&\& false/' internal/belief TestAnswerOfPausedStore
mutant relay-recheck internal/relay/store.go 's/!slices\.Contains\(s\.settings\.Rechecked, table\)/slices.Contains(s.settings.Rechecked, table)/' internal/relay TestHeldAnswerIsRechecked
mutant relay-recheck-next internal/relay/store.go 's/\t\t\ts\.recheck\[table\] = true\n//' internal/relay TestHeldAnswerIsRechecked
mutant relay-recheck-slow internal/relay/store.go 's/max\(wait-s\.recheckTook, /max(wait, /' internal/relay TestHeldAnswerIsRechecked
mutant relay-old-changes internal/relay/store.go 's/ && !changes \{/ \&\& (changes || !changes) {/' internal/relay TestOldAnswerWithChangesIsUsed
mutant relay-whole internal/relay/server.go 's/errors\.Is\(err, errHistoryTooShort\) && p\.Whole/false/' internal/relay TestEntryBehindTheHistoryOfItsPeers
mutant relay-whole-age internal/relay/store.go 's/ && !snap\.Full && / \&\& /' internal/relay TestEntryBehindTheHistoryOfStalePeers
mutant relay-whole-failing internal/relay/log.go 's/!t\.listsSince\(after\) && !t\.failing:/after <= t.version:/' internal/relay TestPeersThatCannotAnswer
mutant follower-whole internal/belief/follower.go 's/\tfull = full \|\| s\.Full\n//' internal/belief TestWholeTableInPlaceOfChanges
mutant follower-older internal/belief/follower.go 's/case full && f\.epoch != 0 && s\.Epoch <= f\.epoch && s\.Version < f\.version:/case false:/' internal/belief TestOlderWholeTableIsNotApplied
mutant follower-version internal/belief/follower.go 's/case full:\n\t\tf\.version = s\.Version/case full:\n\t\tf.version = max(f.version, s.Version)/' internal/belief TestOlderWholeTableIsNotApplied
mutant relay-older-table internal/relay/log.go 's/if full && s\.Version < t\.version \{/if false {/' internal/relay TestOlderWholeTableIsNotRelayed
mutant relay-older-row internal/relay/log.go 's/if r\.Version >= t\.rows\[r\.Name\]\.record\.Version \{/if true {/' internal/relay TestOlderWholeTableIsNotRelayed
mutant relay-later-row internal/relay/log.go 's/ && e\.record\.Version <= s\.Version \{/ {/' internal/relay TestRowWrittenWhilePagesAreRead
mutant relay-unread internal/relay/log.go 's/ \|\| t\.floor < 0 && !full \{/ {/' internal/relay TestChangesOfAnUnreadTable
mutant relay-gap internal/relay/log.go 's/ && \(after <= t\.gapAfter \|\| after >= t\.gapEnd\)//' internal/relay TestChangesAcrossAnUnfollowedTime
mutant fleet-older-row internal/fleet/set.go 's/if r\.Version == 0 \|\| r\.Version >= m\.Version \{/if true {/' internal/fleet TestOlderRowKeeps
mutant relay-store-older internal/relay/log.go 's/\t\tt\.forget\(\)\n\t\}\n\treturn l\.merge/\t\t_ = t\n\t}\n\treturn l.merge/' internal/relay TestWholeTableOfRestoredStore
mutant retryuse-read-clock internal/retryuse/retryuse.go 's/s\.Clock, sent\n/s.Clock, k.now()\n\t\t_ = sent\n/' internal/retryuse TestSlowReadDoesNotAgeStoredUse
mutant routes-only-gossip internal/belief/routes.go 's/r\.answeredAt, r\.onlyGossip = at, false/r.answeredAt = at/' internal/belief TestEvidenceOfConfirmations
mutant routes-one-reading $gateway/request.go 's/\trq\.table, rq\.tableTrusted, /\tread.Table, _ = g.routes.Current()\n\trq.table, rq.tableTrusted, /' $gateway TestRequestReadsTheRouteTableOnce
mutant routes-confirm-version internal/belief/routes.go 's/r\.table\.Version\(\) == v && at/at/' internal/belief TestCrossingAnswersConfirm
mutant clock-watch internal/daemon/clockwatch.go 's/by\.Abs\(\) < clockTolerance/by < clockTolerance/' internal/daemon TestClockWatch
mutant reload-early internal/reload/reload.go 's/var requests = receive\(\)/var requests <-chan os.Signal/; s/\{ return requests \}/{\n\tif requests == nil {\n\t\trequests = receive()\n\t}\n\treturn requests\n}/' internal/daemon TestScripts
mutant gateway-earlier-run $gateway/continue.go 's/time\.AfterFunc\(dropTime, func\(\) \{ s\.g\.stopEarlierRun\(callID, from, at\) \}\)/_, _, _ = callID, from, s.g.stopEarlierRun/' $gateway TestSpoiledStreamRunsTwice
mutant gateway-earlier-copy $gateway/move.go 's/if r\.Outcome != protocol\.CopyInProgress \{/if true {/' $gateway TestSpoiledStreamRunsTwice
mutant link-unidentified internal/link/link.go 's/idleKey\{address, r\.Upstream, r\.ID != ""\}/idleKey{address, r.Upstream, true}/' internal/link TestLateAnswerIsTakenForAnotherOne
mutant link-own-connection internal/link/link.go 's/resp\.Close \|\| req\.OwnConnection/resp.Close/; s/req\.idleKey\(address\), req\.ID, req\.OwnConnection/req.idleKey(address), req.ID, false/' internal/link TestLateAnswerIsTakenForAnotherOne
mutant software-split-route $gateway/software.go 's/\treturn n > 1\n/\treturn n > 9\n/' $gateway TestStreamOfASplitRoute
mutant kept-young-store internal/originstore/originstore.go 's/since = min\(0, since-k\.settings\.Retention\)/since = 0/' internal/originstore TestTableThatWasJustBegun
mutant suspect-backoff-call $gateway/call.go 's/if r\.usable\(\) && !g\.asksBackOff\(r\.status, r\.header\) \{\n\t\trq\.run/if r.usable() {\n\t\trq.run/' $gateway TestRequestToBackOffClearsNoSuspect
mutant suspect-backoff-stream $gateway/attempt.go 's/if err == nil && !s\.g\.asksBackOff\(answer\.Status, answer\.Header\) \{/if err == nil {/' $gateway TestRequestToBackOffClearsNoSuspect

mutant link-carries-twice internal/link/link.go 's/ && !c\.ids\.has\(id\)$//m' internal/link TestLateAnswerToAnEarlierAttempt
mutant link-previous-only internal/link/link.go 's/id != "" && c\.ids\.has\(id\)/id != "" \&\& carriedIDs(c.ids[max(len(c.ids)-2, 0):]).has(id)/' internal/link TestLateAnswerToAnEarlierAttempt
mutant link-by-address internal/link/link.go 's/idleKey\{address, r\.Upstream, /idleKey{address, "", /' internal/link TestConnectionOfAnotherUpstream

mutant end-check-open-connection $gateway/endcheck.go 's/g\.queryAnew\(/g.query(/' $gateway TestLateReportProvesNoEnd
mutant notice-of-another-request $gateway/notice.go 's/if requestID != "" && h\.Get/if false \&\& h.Get/' $gateway TestAnswerThatIsNotOfTheAttemptHasNoEffect
mutant limit-of-another-upstream $gateway/limits.go 's/if !g\.isOwnAnswer\(rq\.call\.ID, h\.status, h\.header\)/if h.header.Get(g.proto.IDHeader) != rq.call.ID/' $gateway TestAnswerThatIsNotOfTheAttemptHasNoEffect
mutant only-version-outdated $gateway/software.go 's/unverified != nil \|\| source == origin\.NoAnswer/source == origin.NoAnswer/' $gateway TestStreamGoesOnByAnOutdatedView
mutant stored-version-outdated $gateway/software.go 's/errors\.Join\(err, unverified\)/err/' $gateway TestStreamGoesOnByAnOutdatedView
mutant verify-unapplied internal/belief/verifier.go 's/case f\.appliedVersion < version:/case false:/' internal/belief TestOutdatedStateIsVerified
mutant verify-restored internal/belief/verifier.go 's/case answered != epoch \|\| f\.epoch != epoch:/case false:/' internal/belief TestOutdatedStateIsVerified
mutant verify-again internal/belief/verifier.go 's/if v\.now\(\)\.Before\(v\.retryAt\) \{/if false {/' internal/belief TestOutdatedStateIsVerified
mutant verify-spacing internal/belief/verifier.go 's/v\.nextCall = v\.now\(\)\.Add\(v\.settings\.Spacing\(\)\)/v.nextCall = v.now()/' internal/belief TestVerificationsShareCalls
mutant origin-some-silent internal/origin/origin.go 's/case silent == 0:/case silent >= 0:/' internal/origin TestOriginOfStreamIsLost
mutant followed-whole-table internal/fleet/set.go 's/(are not in it\.\n)\t\ts\.followedSince = time\.Time\{\}\n/$1/' internal/fleet TestVersionThatCameAndWentIsMissed
mutant followed-unknown-row internal/fleet/set.go 's/(was not seen\.\n)\t\ts\.followedSince = time\.Time\{\}\n/$1/' internal/fleet TestVersionThatCameAndWentIsMissed
finish
