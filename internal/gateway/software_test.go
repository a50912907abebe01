package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/origin"
	"github.com/sparshore/sparshore/internal/originstore"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/routetable"
)

// addEngineOf adds an engine of a software version.
func (f *fixture) addEngineOf(id, software string) *engine {
	f.software = software
	return f.addEngine(id)
}

// resumes returns a change to a request that resumes the stream which the answer to another one began.
func resumes(first, lastEvent string) func(r *http.Request) {
	return func(r *http.Request) {
		r.Header.Set(testResumes, first)
		r.Header.Set(testLastEvent, lastEvent)
	}
}

// checkOneVersion reports an error if engines of two software versions ran requests.
func checkOneVersion(t *testing.T, f *fixture, engines []*engine) {
	t.Helper()
	ran := map[string]int{}
	for _, e := range engines {
		if u, ok := f.fleet.Get(e.id); ok {
			ran[u.Software] += e.runs()
		}
	}
	versions := 0
	for _, n := range ran {
		if n > 0 {
			versions++
		}
	}
	if versions != 1 {
		t.Errorf("runs by version: %v, want one version", ran)
	}
}

// TestStreamGoesOnAtAnotherSoftwareVersion guards against streams whose engine is lost or leaves and that go
// on at an engine of another software version.
func TestStreamGoesOnAtAnotherSoftwareVersion(t *testing.T) {
	for _, tc := range []struct {
		name    string
		path    string
		disturb func(e *engine)
		leave   bool
		// mayBeCut is set if too few engines of one version are left to complete the stream.
		mayBeCut bool
	}{
		{name: "its engine is lost", path: pathResume, disturb: func(e *engine) { e.breakAfter = 7 }, mayBeCut: true},
		{name: "its engine is lost and the next one refuses the rest", path: pathResume, disturb: func(e *engine) { e.breakAfter, e.refuseRest = 7, 1 }, mayBeCut: true},
		{name: "its engine leaves", path: pathStream, disturb: func(e *engine) { e.copies = []protocol.CopyResult{{Handle: "h1"}} }, leave: true},
		{name: "its engine leaves and its copies are refused", path: pathResume, disturb: func(e *engine) { e.copies, e.refuse = []protocol.CopyResult{{Handle: "h1"}}, 2 }, leave: true, mayBeCut: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for range 8 {
				f := newFixture(t)
				var engines []*engine
				for _, id := range []string{"a1", "b1", "c2", "d2", "e2", "f2"} {
					e := f.addEngineOf(id, "v"+id[1:])
					tc.disturb(e)
					engines = append(engines, e)
				}
				result := make(chan answer, 1)
				go func() { result <- f.ask(tc.path) }()
				if tc.leave {
					id := f.waitRunning()
					time.Sleep(5 * time.Millisecond)
					f.leave(id)
				}
				got := <-result
				if whole := wholeStream(); !strings.HasPrefix(whole, got.body) || !tc.mayBeCut && got.body != whole {
					t.Errorf("%v, %q; want each event once", got.err, got.body)
				}
				checkOneVersion(t, f, engines)
			}
		})
	}
}

// TestCallerResumesStreamAtAnotherSoftwareVersion guards against streams that callers resume at an entry
// that chooses an engine as for a new stream.
func TestCallerResumesStreamAtAnotherSoftwareVersion(t *testing.T) {
	f := newFixture(t)
	var engines []*engine
	for _, id := range []string{"a1", "b2", "c2", "d2"} {
		engines = append(engines, f.addEngineOf(id, "v"+id[1:]))
	}
	f.gateway.Origins().Began(origin.KeyOf("first"), origin.Origin{Service: "llm", Software: "v1"}, time.Now().Add(time.Minute))
	rest := wholeStream()[strings.Index(wholeStream(), "id: 8\n"):]
	for range 8 {
		if got := f.ask(pathResume, resumes("first", "7")); got.err != nil || got.body != rest {
			t.Errorf("%d, %v, %q; want the rest of the stream", got.status, got.err, got.body)
		}
	}
	checkOneVersion(t, f, engines)
}

// TestStreamIsResumedThroughOneEntry checks that an entry knows the streams that it began itself.
func TestStreamIsResumedThroughOneEntry(t *testing.T) {
	f := newFixture(t)
	var engines []*engine
	for _, id := range []string{"a1", "b2", "c3"} {
		e := f.addEngineOf(id, "v"+id[1:])
		e.breakAfter = 7
		engines = append(engines, e)
	}
	first := func(r *http.Request) { r.Header.Set(testID, "first") }
	if got := f.ask(pathResume, first); got.err == nil {
		t.Fatal("a stream that no other engine may go on with is complete")
	}
	if got := f.ask(pathResume, resumes("first", "7")); got.err != nil || got.status != http.StatusOK {
		t.Errorf("%d, %v; want the rest of the stream", got.status, got.err)
	}
	checkOneVersion(t, f, engines)
}

// TestResumedStreamOfUnknownVersion covers callers that resume a stream whose software version this entry
// cannot tell, or that no engine has.
func TestResumedStreamOfUnknownVersion(t *testing.T) {
	lateAnswers := origin.Alone()
	lateAnswers.Live = func() []string { return []string{"entry-2"} }
	lateAnswers.Known = lateAnswers.Live
	for _, tc := range []struct {
		name     string
		versions []string
		peers    origin.Peers
		first    string
		want     int
		reason   error
		retry    bool
	}{
		{"one version serves", []string{"v1", "v1"}, origin.Alone(), "unknown", http.StatusOK, nil, false},
		{"two versions serve", []string{"v1", "v2"}, origin.Alone(), "unknown", http.StatusServiceUnavailable, errOriginUnknown, false},
		{"the caller does not name its first request", []string{"v1", "v2"}, origin.Alone(), "", http.StatusServiceUnavailable, errOriginUnknown, false},
		{"the caller does not name its first request and one version serves", []string{"v1"}, origin.Alone(), "", http.StatusOK, nil, false},
		{"another entry does not answer", []string{"v1", "v2"}, lateAnswers, "unknown", http.StatusServiceUnavailable, errOriginNotAnswered, true},
		{"another entry does not answer and one version serves", []string{"v1"}, lateAnswers, "unknown", http.StatusServiceUnavailable, errOriginNotAnswered, true},
		{"its version is gone", []string{"v2", "v3"}, origin.Alone(), "first", http.StatusServiceUnavailable, errVersionGone, false},
		{"its version is gone and one other serves", []string{"v2"}, origin.Alone(), "first", http.StatusServiceUnavailable, errVersionGone, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.gateway.origins = origin.New(tc.peers, f.rec, time.Now)
			for i, version := range tc.versions {
				f.addEngineOf(string(rune('a'+i)), version)
			}
			f.gateway.Origins().Began(origin.KeyOf("first"), origin.Origin{Service: "llm", Software: "v1"}, time.Now().Add(time.Minute))
			got := f.ask(pathResume, resumes(tc.first, "7"))
			if got.status != tc.want || tc.reason != nil && !strings.Contains(got.body, tc.reason.Error()) {
				t.Errorf("%d, %q; want %d, %v", got.status, got.body, tc.want, tc.reason)
			}
			if retry := got.header.Get(testRetryMs) != ""; retry != tc.retry {
				t.Errorf("retry time stated: %v, want %v", retry, tc.retry)
			}
		})
	}
}

// TestProcessThatHasJustStartedJoinsStreams guards against streams that go on at the only software version that a
// process knows since its start, although another one began them.
func TestProcessThatHasJustStartedJoinsStreams(t *testing.T) {
	const young, long = time.Second, time.Hour
	known := originstore.Stored{Origin: origin.Origin{Service: "llm", Software: "v1"}, Known: true, Versions: []string{"v1", "v2"}, KeptFor: time.Hour}
	versions := func(v ...string) originstore.Stored { return originstore.Stored{Versions: v, KeptFor: time.Hour} }
	silent := origin.Alone()
	silent.Known = func() []string { return []string{"entry-2"} }
	for _, tc := range []struct {
		name     string
		followed time.Duration
		versions []string
		stored   originstore.Stored
		err      error
		// readBefore is how long the store was read before the process knew the upstreams.
		readBefore time.Duration
		peers      origin.Peers
		want       int
		reason     error
	}{
		{"the store has the stream", young, []string{"v1", "v2"}, known, nil, 0, origin.Alone(), http.StatusOK, nil},
		{"the store has the stream and other entries do not answer", young, []string{"v1", "v2"}, known, nil, 0, silent, http.StatusOK, nil},
		{"the store has the stream and its version is gone", young, []string{"v2"}, known, nil, 0, origin.Alone(), http.StatusServiceUnavailable, errVersionGone},
		{"one version is in service", young, []string{"v2"}, versions("v2"), nil, 0, origin.Alone(), http.StatusOK, nil},
		{"one version is in service and other entries do not answer", young, []string{"v2"}, versions("v2"), nil, 0, silent, http.StatusServiceUnavailable, errOriginNotAnswered},
		{"another version has just left", young, []string{"v2"}, versions("v1", "v2"), nil, 0, origin.Alone(), http.StatusServiceUnavailable, errOriginUnknown},
		{"another version has just come", young, []string{"v2", "v3"}, versions("v2"), nil, 0, origin.Alone(), http.StatusServiceUnavailable, errOriginUnknown},
		{"another version replaced the one in the store", young, []string{"v2"}, versions("v1"), nil, 0, origin.Alone(), http.StatusServiceUnavailable, errOriginUnknown},
		{"the store has no version", young, []string{"v2"}, versions(), nil, 0, origin.Alone(), http.StatusServiceUnavailable, errOriginUnknown},
		{"the store may have more versions", young, []string{"v2"}, originstore.Stored{Versions: []string{"v2"}, KeptFor: time.Second}, nil, 0, origin.Alone(), http.StatusServiceUnavailable, errOriginUnknown},
		{"the store was read before the upstreams", young, []string{"v2"}, versions("v2"), nil, 2 * young, origin.Alone(), http.StatusServiceUnavailable, errOriginNotStored},
		{"it has not read the upstreams", 0, nil, versions("v2"), nil, 0, origin.Alone(), http.StatusServiceUnavailable, errOriginNotStored},
		{"the store is away", young, []string{"v2"}, originstore.Stored{}, errTest, 0, origin.Alone(), http.StatusServiceUnavailable, errOriginNotStored},
		{"it has followed the upstreams for long", long, []string{"v2"}, originstore.Stored{}, errTest, 0, origin.Alone(), http.StatusOK, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.fleet.MissedChanges()
			if tc.followed > 0 {
				follow(f.fleet, tc.followed)
			}
			f.gateway.origins = origin.New(tc.peers, f.rec, time.Now)
			for i, version := range tc.versions {
				f.addEngineOf(string(rune('a'+i)), version)
			}
			f.stored, f.storeErr = tc.stored, tc.err
			f.stored.AsOf = time.Now().Add(-tc.readBefore)
			got := f.ask(pathResume, resumes("unknown", "9"))
			if got.status != tc.want || tc.reason != nil && !strings.Contains(got.body, tc.reason.Error()) {
				t.Errorf("%d, %q; want %d, %v", got.status, got.body, tc.want, tc.reason)
			}
			if retry := got.header.Get(testRetryMs) != ""; retry != (errors.Is(tc.reason, errOriginNotStored) || errors.Is(tc.reason, errOriginNotAnswered)) {
				t.Errorf("retry time stated: %v", retry)
			}
		})
	}
}

var errTest = errors.New("the store does not answer")

// TestFirstEventWaitsForTheRowOfItsVersion checks that a caller gets nothing of a stream that it may resume before
// the version that began it is in the store.
func TestFirstEventWaitsForTheRowOfItsVersion(t *testing.T) {
	f := newFixture(t)
	f.addEngineOf("a", "v1")
	confirming, confirmed := make(chan origin.Origin), make(chan struct{})
	f.confirm = func(o origin.Origin) bool {
		confirming <- o
		<-confirmed
		return true
	}
	result := make(chan answer, 1)
	go func() { result <- f.ask(pathResume) }()
	if o := <-confirming; o != (origin.Origin{Service: "llm", Software: "v1"}) {
		t.Errorf("%+v", o)
	}
	if n := len(f.gateway.Origins().Own()); n != 0 {
		t.Errorf("%d streams are recorded", n)
	}
	close(confirmed)
	if got := <-result; got.body != wholeStream() {
		t.Errorf("%d, %v, %q", got.status, got.err, got.body)
	}
	if n := len(f.gateway.Origins().Own()); n != 1 {
		t.Errorf("%d streams are recorded, want 1", n)
	}
}

// TestRestartWithOtherSoftwareEndsTheStream guards against a stream that goes on at the version that its
// engine had before a restart, although it may have run after it.
func TestRestartWithOtherSoftwareEndsTheStream(t *testing.T) {
	f := newFixture(t)
	e := f.addEngineOf("a", "v1")
	ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
	defer cancel()
	resp, err := f.open(ctx, pathResume)
	if err != nil {
		t.Fatal(err)
	}
	f.addEngineOf("b", "v1")
	f.records[0].Born, f.records[0].Software = 2, "v2"
	f.fleet.Update(f.records, nil, true, time.Time{})
	e.crash()
	if got := readAnswer(resp); got.err == nil {
		t.Error("the stream went on")
	}
}

// TestRowOfAnEngineChangesItsSoftware checks that copies at engines whose version turns out to be another
// one are not used.
func TestRowOfAnEngineChangesItsSoftware(t *testing.T) {
	f := newFixture(t)
	f.addEngineOf("a", "v2")
	u, _ := f.fleet.Get("a")
	s := &stream{g: f.gateway, software: streamSoftware{begun: true, version: "v1", known: true}, copies: []heldCopy{{at: u}, {at: fleet.Upstream{Record: fleet.Record{ID: "gone", Software: "v1"}}}}}
	if held, ok := s.takeCopy(); ok {
		t.Errorf("the copy at %s of %s is used", held.at.ID, held.at.Software)
	}
}

// TestStreamOfASplitRouteGoesOnAtAnotherService guards against a stream that nobody knows and that goes on at the only
// version of the service that was picked for the rest, though another service of the route may have begun it.
func TestStreamOfASplitRouteGoesOnAtAnotherService(t *testing.T) {
	engine := &routetable.Engine{Slots: 8}
	table := routetable.New(1, nil, []routetable.Service{{Name: "llm", Engine: engine}, {Name: "llm-2", Engine: engine}, {Name: "app"}}, routetable.Limits{}, nil)
	service, _ := table.Service("llm")
	for _, tc := range []struct {
		name   string
		shares []string
		want   bool
	}{
		{"one service", []string{"llm"}, true},
		{"a service without engines beside it", []string{"llm", "app"}, true},
		{"two services with engines", []string{"llm", "llm-2"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.software = "v1"
			f.add("llm", "a", serveOK)
			f.add("llm-2", "b", serveOK)
			route := &routetable.Route{Timeout: time.Second}
			for _, name := range tc.shares {
				route.Shares = append(route.Shares, routetable.Share{Service: name, Weight: 1})
			}
			rq := &request{start: time.Now(), route: route, table: table, service: service}
			if o, source := f.gateway.onlyVersion(rq, origin.FromNobody, nil); (source == sourceOnlyVersion) != tc.want {
				t.Errorf("followed for long: %s, %v", source, o)
			}
			stored := originstore.Stored{Versions: []string{"v1"}, KeptFor: time.Hour, AsOf: time.Now()}
			if o, source := f.gateway.storedOrigin(rq, origin.FromNobody, stored, nil); (source == sourceOnlyVersion) != tc.want {
				t.Errorf("by the store: %s, %v", source, o)
			}
		})
	}
}

// A stream of a version that had just joined went on at the only version that an entry knew, whose view of the
// upstreams ended before the stream began.
func TestStreamGoesOnByAnOutdatedView(t *testing.T) {
	oneVersion := originstore.Stored{Versions: []string{"v1"}, KeptFor: time.Hour}
	for _, tc := range []struct {
		name       string
		unverified error
		first      string
		stored     originstore.Stored
		want       int
	}{
		{"verified", nil, "unknown", originstore.Stored{}, http.StatusOK},
		{"not verified", errStoreAway, "unknown", originstore.Stored{}, http.StatusServiceUnavailable},
		{"not verified, the store has one version", errStoreAway, "unknown", oneVersion, http.StatusServiceUnavailable},
		{"not verified, the first request is not named", errStoreAway, "", oneVersion, http.StatusServiceUnavailable},
		{"not verified, the stream is known", errStoreAway, "first", originstore.Stored{}, http.StatusOK},
		{"not verified, the store has the stream", errStoreAway, "unknown", originstore.Stored{Known: true, Origin: origin.Origin{Service: "llm", Software: "v1"}}, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.addEngineOf("a", "v1")
			f.unverified, f.stored = tc.unverified, tc.stored
			f.stored.AsOf = time.Now()
			f.gateway.Origins().Began(origin.KeyOf("first"), origin.Origin{Service: "llm", Software: "v1"}, time.Now().Add(time.Minute))
			got := f.ask(pathResume, resumes(tc.first, "7"))
			if got.status != tc.want {
				t.Errorf("%d, %q; want %d", got.status, got.body, tc.want)
			}
			if retry := got.header.Get(testRetryMs) != ""; got.status != http.StatusOK && !retry {
				t.Errorf("no retry time is stated")
			}
		})
	}
}

var errStoreAway = errors.New("the store does not answer")
