package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/standin"
)

const (
	// poisonMarker in the body of a request crashes each upstream that starts to run
	// the request. The upstream is back after restartDelay.
	poisonMarker = "crash"
	restartDelay = 700 * time.Millisecond
	// verdictSpreadTime is the time within which all entries learn of the third crash.
	// It covers several heartbeats.
	verdictSpreadTime = 1500 * time.Millisecond
	// maxLateArrivals is how many times the poison request may still reach upstreams
	// after verdictSpreadTime.
	maxLateArrivals = 3
)

// crashStats records when poison requests arrived at the upstreams of one kind and
// when these upstreams crashed.
type crashStats struct {
	mu         sync.Mutex
	arrivals   []time.Time
	crashTimes []time.Time
}

// serveCrashable serves an upstream that crashes on a request with poisonMarker in
// its body, and returns its URL.
func (c *cluster) serveCrashable(stats *crashStats, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	stats.serve(c, l, h)
	return "http://" + l.Addr().String(), nil
}

func (stats *crashStats) serve(c *cluster, l net.Listener, h http.Handler) {
	var once sync.Once
	s := &http.Server{ReadHeaderTimeout: time.Minute}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if !bytes.Contains(body, []byte(poisonMarker)) {
			r.Body = io.NopCloser(bytes.NewReader(body))
			h.ServeHTTP(w, r)
			return
		}
		stats.mu.Lock()
		stats.arrivals = append(stats.arrivals, time.Now())
		stats.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		once.Do(func() { stats.crash(c, s, l.Addr().String(), h) })
		panic(http.ErrAbortHandler)
	})
	go func() { _ = s.Serve(l) }()
}

func (stats *crashStats) crash(c *cluster, s *http.Server, address string, h http.Handler) {
	_ = s.Close()
	stats.mu.Lock()
	stats.crashTimes = append(stats.crashTimes, time.Now())
	stats.mu.Unlock()
	time.AfterFunc(restartDelay, func() {
		if l, err := net.Listen("tcp", address); err == nil {
			stats.serve(c, l, h)
		}
	})
}

// lateArrivals returns how many poison requests reached upstreams later than
// verdictSpreadTime after the third crash, and the total number of crashes.
func (stats *crashStats) lateArrivals() (late, crashed int) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	for _, at := range stats.arrivals {
		if len(stats.crashTimes) >= 3 && at.After(stats.crashTimes[2].Add(verdictSpreadTime)) {
			late++
		}
	}
	return late, len(stats.crashTimes)
}

// TestRequestThatCrashesUpstreams guards against poison requests that crash upstream
// after upstream. When a generation is lost before its first token, an entry retries
// the request on another upstream, up to its number of attempts, and callers send the
// same request again. Without quarantine, two poison requests crash 32 engines and 23
// service upstreams in six seconds, and only 45 of 368 harmless requests are served.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	c, err := newCluster(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	kinds := map[string]*crashStats{"engines": {}, "services": {}}
	for i := range 4 {
		e := standin.NewEngine(standin.EngineSettings{Model: defaultEngineModel(), Speed: 20, LoadLag: 200 * time.Millisecond, Seed: 1})
		go e.Run(c.ctx)
		name := fmt.Sprint("eng-", i+1)
		c.engines[name] = e
		c.startCrashable(t, name, zoneOf(i), kinds["engines"], e.Handler())
	}
	for i := range 3 {
		name := fmt.Sprint("led-", i+1)
		c.services[name] = name
		c.startCrashable(t, name, zoneOf(i), kinds["services"], standin.NewService().Handler())
	}
	entries := []string{"entry-1", "entry-2"}
	for i, name := range entries {
		if err := c.startEntry(name, zoneOf(i)); err != nil {
			t.Fatal(err)
		}
	}
	c.applyAndWait(t, entries)
	sent, served := c.sendMixedLoad(entries, 6*time.Second)
	for kind, stats := range kinds {
		late, crashed := stats.lateArrivals()
		t.Logf("%s: %d crashes; %d of %d harmless requests served", kind, crashed, served, sent)
		if late > maxLateArrivals || crashed < 3 {
			t.Errorf("%s: reached %d times later than %s after the third crash; %d crashes in all", kind, late, verdictSpreadTime, crashed)
		}
	}
	if served*10 < sent*8 {
		t.Errorf("%d of %d harmless requests served", served, sent)
	}
	c.checkQuarantineAndLift(t, entries)
}

// checkQuarantineAndLift checks what callers and operators see of a quarantined
// request, also at an entry that has just restarted, and that operators can lift the
// quarantine.
func (c *cluster) checkQuarantineAndLift(t *testing.T, entries []string) {
	t.Helper()
	if err := c.signal(entries[1], syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if err := c.restart(entries[1]); err != nil {
		t.Fatal(err)
	}
	if err := c.waitReady(entries...); err != nil {
		t.Fatal(err)
	}
	var listed []byte
	if err := waitFor(func() (err error) {
		listed, err = c.ctl(entries[1], "quarantine", "list").Output()
		if err == nil && strings.Count(string(listed), "/v1/chat/completions") != 1 {
			err = fmt.Errorf("%w: %s", errNotQuarantined, listed)
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	body := chatBody(poisonMarker + " out=5")
	for _, name := range entries {
		a := post(c.proc(name).baseURL+"/v1/chat/completions", body)
		if a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, `"code":"request_held"`) || !strings.Contains(a.body, `"outcome":"not-run"`) || a.header.Get("Retry-After") != "" || a.header.Get("X-Should-Retry") != "false" {
			t.Errorf("%s: unexpected response %+v", name, a)
		}
	}
	for line := range strings.Lines(string(listed)) {
		fingerprint, rest, _ := strings.Cut(line, " ")
		if !strings.Contains(rest, "/v1/chat/completions") {
			continue
		}
		if out, err := c.ctl(entries[0], "quarantine", "lift", fingerprint).CombinedOutput(); err != nil {
			t.Errorf("lift: %v: %s", err, out)
		}
	}
	if err := waitFor(func() error {
		if a := post(c.proc(entries[1]).baseURL+"/v1/chat/completions", body); strings.Contains(a.body, "request_held") {
			return errStillQuarantined
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
}

var (
	errNotQuarantined   = errors.New("the request is not quarantined")
	errStillQuarantined = errors.New("the request is still quarantined")
)

// sidecarKiller is an upstream that kills its own sidecar when it runs a request with
// poisonMarker in its body.
type sidecarKiller struct {
	c     *cluster
	name  string
	stats *crashStats
	inner http.Handler
}

func (k *sidecarKiller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !bytes.Contains(body, []byte(poisonMarker)) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		k.inner.ServeHTTP(w, r)
		return
	}
	k.stats.mu.Lock()
	k.stats.arrivals = append(k.stats.arrivals, time.Now())
	k.stats.mu.Unlock()
	if k.c.exited(k.name) || k.c.signal(k.name, syscall.SIGKILL) != nil {
		return
	}
	k.stats.mu.Lock()
	k.stats.crashTimes = append(k.stats.crashTimes, time.Now())
	k.stats.mu.Unlock()
	time.AfterFunc(restartDelay, func() { _ = k.c.restart(k.name) })
}

// TestRequestThatCrashesSidecars guards against a poison request that crashes the
// sidecars which handle it. The entry retries the request on the next sidecar, and
// callers send it again. Without quarantine, 36 sidecars crash in eight seconds.
func TestRequestThatCrashesSidecars(t *testing.T) {
	c, err := newCluster(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	stats := &crashStats{}
	for i := range 4 {
		e := standin.NewEngine(standin.EngineSettings{Model: defaultEngineModel(), Speed: 20, LoadLag: 200 * time.Millisecond, Seed: 1})
		go e.Run(c.ctx)
		name := fmt.Sprint("eng-", i+1)
		url, err := c.serve(&sidecarKiller{c: c, name: name, stats: stats, inner: e.Handler()})
		if err != nil {
			t.Fatal(err)
		}
		c.engines[name], c.upstreamURLs[name] = e, url
		if err := c.start(name, zoneOf(i), []string{"sidecar", "--upstream", name, "--upstream-url", url}); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.startEntry("entry-1", "a"); err != nil {
		t.Fatal(err)
	}
	c.applyAndWait(t, []string{"entry-1"})
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
		post(c.proc("entry-1").baseURL+"/v1/chat/completions", chatBody(poisonMarker+" out=5"))
	}
	late, crashed := stats.lateArrivals()
	t.Logf("%d crashes", crashed)
	if late > maxLateArrivals || crashed < 3 {
		t.Errorf("reached %d times later than %s after the third crash; %d crashes in all", late, verdictSpreadTime, crashed)
	}
}

// startCrashable starts an upstream that poison requests crash, and its sidecar.
func (c *cluster) startCrashable(t *testing.T, name, zone string, stats *crashStats, h http.Handler) {
	t.Helper()
	url, err := c.serveCrashable(stats, h)
	if err != nil {
		t.Fatal(err)
	}
	c.upstreamURLs[name] = url
	if err := c.start(name, zone, []string{"sidecar", "--upstream", name, "--upstream-url", url}); err != nil {
		t.Fatal(err)
	}
}

// sendMixedLoad sends harmless generation requests to all entries while it repeats
// poison requests for engines and services. It returns how many harmless requests were
// sent and served.
func (c *cluster) sendMixedLoad(entries []string, duration time.Duration) (sent, served int) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(duration)
	repeat := func(every time.Duration, f func(n int)) {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				f(n)
				time.Sleep(every)
			}
		})
	}
	for _, name := range entries {
		url := c.proc(name).baseURL
		repeat(100*time.Millisecond, func(int) { post(url+"/v1/chat/completions", chatBody(poisonMarker+" out=5")) })
		repeat(110*time.Millisecond, func(int) { post(url+"/services/ledger/tallies", poisonMarker) })
		repeat(30*time.Millisecond, func(n int) {
			a := post(url+"/v1/chat/completions", chatBody(fmt.Sprintf("sound %s %d out=5", name, n)))
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.status == http.StatusOK {
				served++
			}
		})
	}
	callers.Wait()
	return sent, served
}

func chatBody(text string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, modelName, text)
}

// response is the response that a caller received. It is zero if there was none.
type response struct {
	status int
	header http.Header
	body   string
}

// post sends a body and returns the response.
func post(url, body string) response {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return response{}
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(b)}
}
