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
	// crashText in a body ends each upstream that begins to run it, backAfter is when that is back.
	crashText = "crash"
	backAfter = 700 * time.Millisecond
	// knownWithin is the time in which all entries know of the third end: some heartbeats.
	knownWithin = 1500 * time.Millisecond
	// mostAfterVerdict is how often the request may reach upstreams later than that.
	mostAfterVerdict = 3
)

// crashes are the upstreams of a kind that a request can end, and what befell them.
type crashes struct {
	mu      sync.Mutex
	reached []time.Time
	ends    []time.Time
}

// crashable serves an upstream that a request with crashText in its body ends.
func (c *cluster) crashable(of *crashes, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	of.serve(c, l, h)
	return "http://" + l.Addr().String(), nil
}

func (of *crashes) serve(c *cluster, l net.Listener, h http.Handler) {
	var once sync.Once
	s := &http.Server{ReadHeaderTimeout: time.Minute}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if !bytes.Contains(body, []byte(crashText)) {
			r.Body = io.NopCloser(bytes.NewReader(body))
			h.ServeHTTP(w, r)
			return
		}
		of.mu.Lock()
		of.reached = append(of.reached, time.Now())
		of.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		once.Do(func() { of.end(c, s, l.Addr().String(), h) })
		panic(http.ErrAbortHandler)
	})
	go func() { _ = s.Serve(l) }()
}

func (of *crashes) end(c *cluster, s *http.Server, address string, h http.Handler) {
	_ = s.Close()
	of.mu.Lock()
	of.ends = append(of.ends, time.Now())
	of.mu.Unlock()
	time.AfterFunc(backAfter, func() {
		if l, err := net.Listen("tcp", address); err == nil {
			of.serve(c, l, h)
		}
	})
}

// late counts the times at which the request reached upstreams once all had to know.
func (of *crashes) late() (late, ends int) {
	of.mu.Lock()
	defer of.mu.Unlock()
	for _, at := range of.reached {
		if len(of.ends) >= 3 && at.After(of.ends[2].Add(knownWithin)) {
			late++
		}
	}
	return late, len(of.ends)
}

// A request that ended each upstream that ran it was sent on whenever it came: an entry
// took the end of a generation before its first token for a reason to send it to the next
// upstream, up to its number of attempts, and no entry remembered it when it came again.
// On that code two such requests end 32 engines and 23 upstreams of a service in six
// seconds, and 45 of 368 sound requests are served.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	c, err := newCluster(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	kinds := map[string]*crashes{"engines": {}, "services": {}}
	for i := range 4 {
		e := standin.NewEngine(standin.EngineSettings{Model: engineSize(), Speed: 20, LoadLag: 200 * time.Millisecond, Seed: 1})
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
	c.configured(t, entries)
	asked, served := c.askBeside(entries, 6*time.Second)
	for kind, of := range kinds {
		late, ends := of.late()
		t.Logf("%s: %d ended; %d of %d sound requests served", kind, ends, served, asked)
		if late > mostAfterVerdict || ends < 3 {
			t.Errorf("%s: reached %d times later than %s after the third end; %d ended in all", kind, late, knownWithin, ends)
		}
	}
	if served*10 < asked*8 {
		t.Errorf("%d of %d sound requests served", served, asked)
	}
	c.heldAndLifted(t, entries)
}

// heldAndLifted covers what callers and operators get of a request that is held, also at an
// entry that has just started anew.
func (c *cluster) heldAndLifted(t *testing.T, entries []string) {
	t.Helper()
	if err := c.signal(entries[1], syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if err := c.restart(entries[1]); err != nil {
		t.Fatal(err)
	}
	if err := c.ready(entries...); err != nil {
		t.Fatal(err)
	}
	var held []byte
	if err := waitFor(func() (err error) {
		held, err = c.ctl(entries[1], "quarantine", "list").Output()
		if err == nil && strings.Count(string(held), "/v1/chat/completions") != 1 {
			err = fmt.Errorf("%w: %s", errNotHeld, held)
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	body := chatBody(crashText + " out=5")
	for _, name := range entries {
		a := post(c.proc(name).http+"/v1/chat/completions", body)
		if a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, `"code":"request_held"`) || !strings.Contains(a.body, `"outcome":"not-run"`) || a.header.Get("Retry-After") != "" || a.header.Get("X-Should-Retry") != "false" {
			t.Errorf("%s answers %+v", name, a)
		}
	}
	for line := range strings.Lines(string(held)) {
		fingerprint, rest, _ := strings.Cut(line, " ")
		if !strings.Contains(rest, "/v1/chat/completions") {
			continue
		}
		if out, err := c.ctl(entries[0], "quarantine", "lift", fingerprint).CombinedOutput(); err != nil {
			t.Errorf("lift: %v: %s", err, out)
		}
	}
	if err := waitFor(func() error {
		if a := post(c.proc(entries[1]).http+"/v1/chat/completions", body); strings.Contains(a.body, "request_held") {
			return errStillHeld
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
}

var (
	errNotHeld   = errors.New("the request is not held")
	errStillHeld = errors.New("the request is still held")
)

// sidecarKiller is an upstream whose sidecar ends when a request with crashText runs.
type sidecarKiller struct {
	c     *cluster
	name  string
	of    *crashes
	inner http.Handler
}

func (k *sidecarKiller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !bytes.Contains(body, []byte(crashText)) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		k.inner.ServeHTTP(w, r)
		return
	}
	k.of.mu.Lock()
	k.of.reached = append(k.of.reached, time.Now())
	k.of.mu.Unlock()
	if k.c.exited(k.name) || k.c.signal(k.name, syscall.SIGKILL) != nil {
		return
	}
	k.of.mu.Lock()
	k.of.ends = append(k.of.ends, time.Now())
	k.of.mu.Unlock()
	time.AfterFunc(backAfter, func() { _ = k.c.restart(k.name) })
}

// A request that ended the sidecars which handled it was sent to the next one by the same
// entry, and again whenever it came: 36 ended in eight seconds.
func TestRequestThatCrashesSidecars(t *testing.T) {
	c, err := newCluster(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	of := &crashes{}
	for i := range 4 {
		e := standin.NewEngine(standin.EngineSettings{Model: engineSize(), Speed: 20, LoadLag: 200 * time.Millisecond, Seed: 1})
		go e.Run(c.ctx)
		name := fmt.Sprint("eng-", i+1)
		url, err := c.serve(&sidecarKiller{c: c, name: name, of: of, inner: e.Handler()})
		if err != nil {
			t.Fatal(err)
		}
		c.engines[name], c.urls[name] = e, url
		if err := c.start(name, zoneOf(i), []string{"sidecar", "--upstream", name, "--upstream-url", url}); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.startEntry("entry-1", "a"); err != nil {
		t.Fatal(err)
	}
	c.configured(t, []string{"entry-1"})
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
		post(c.proc("entry-1").http+"/v1/chat/completions", chatBody(crashText+" out=5"))
	}
	late, ends := of.late()
	t.Logf("%d ended", ends)
	if late > mostAfterVerdict || ends < 3 {
		t.Errorf("reached %d times later than %s after the third end; %d ended in all", late, knownWithin, ends)
	}
}

// startCrashable starts an upstream that a request can end, and its sidecar.
func (c *cluster) startCrashable(t *testing.T, name, zone string, of *crashes, h http.Handler) {
	t.Helper()
	url, err := c.crashable(of, h)
	if err != nil {
		t.Fatal(err)
	}
	c.urls[name] = url
	if err := c.start(name, zone, []string{"sidecar", "--upstream", name, "--upstream-url", url}); err != nil {
		t.Fatal(err)
	}
}

// askBeside sends sound generations beside requests that end upstreams and come again and
// again, at all entries.
func (c *cluster) askBeside(entries []string, lasts time.Duration) (asked, served int) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(lasts)
	each := func(every time.Duration, f func(n int)) {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				f(n)
				time.Sleep(every)
			}
		})
	}
	for _, name := range entries {
		url := c.proc(name).http
		each(100*time.Millisecond, func(int) { post(url+"/v1/chat/completions", chatBody(crashText+" out=5")) })
		each(110*time.Millisecond, func(int) { post(url+"/services/ledger/tallies", crashText) })
		each(30*time.Millisecond, func(n int) {
			a := post(url+"/v1/chat/completions", chatBody(fmt.Sprintf("sound %s %d out=5", name, n)))
			mu.Lock()
			defer mu.Unlock()
			asked++
			if a.status == http.StatusOK {
				served++
			}
		})
	}
	callers.Wait()
	return asked, served
}

func chatBody(text string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, modelName, text)
}

// posted is what a caller got; the zero value is for no answer.
type posted struct {
	status int
	header http.Header
	body   string
}

// post sends a body and returns the answer.
func post(url, body string) posted {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return posted{}
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return posted{}
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return posted{status: resp.StatusCode, header: resp.Header, body: string(b)}
}
