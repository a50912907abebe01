// Package loadgen sends a bounded, seeded, open-loop load of streamed requests to entries or engines on
// loopback addresses. It checks every token that it reads and reports latencies and outcomes as callers
// see them. "sparshorectl load" and the scenario tests run it.
package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ErrTarget is returned for an address that is not on loopback.
var ErrTarget = errors.New("load goes to loopback addresses only")

// Options configure a load.
type Options struct {
	// URLs are the addresses of the entries, used in turn.
	URLs []string
	// Key is the API key of the client account.
	Key string
	// Model is the name of the model to request.
	Model string
	// Requests is the number of requests. Rate is the mean number of requests started per second.
	Requests int
	Rate     float64
	// Seed seeds the arrival times and lengths.
	Seed uint64
	// Prompt is the number of prompt tokens. The number of output tokens is log-normally distributed:
	// Output is its median and Spread the standard deviation of its logarithm.
	Prompt int
	Output float64
	Spread float64
	// MaxOutput is the maximum number of output tokens of a request.
	MaxOutput int
	// Direct means that the URLs are engines instead of entries.
	Direct bool
	// Resume continues broken streams through the next entry.
	Resume bool
	// Timeout is the time limit of a request, including its resumptions.
	Timeout time.Duration
}

// Report holds the outcomes and latencies that the callers observed.
type Report struct {
	Asked       int     `json:"asked"`
	Whole       int     `json:"whole"`
	Cut         int     `json:"cut"`
	Refused     int     `json:"refused"`
	Broken      int     `json:"broken"`
	Resumed     int     `json:"resumed"`
	Tokens      int64   `json:"tokens"`
	Seconds     float64 `json:"seconds"`
	Breaches    int     `json:"breaches"`
	FirstP50    float64 `json:"first_token_ms_p50"`
	FirstP99    float64 `json:"first_token_ms_p99"`
	GapP50      float64 `json:"token_gap_ms_p50"`
	GapP95      float64 `json:"token_gap_ms_p95"`
	GapP99      float64 `json:"token_gap_ms_p99"`
	StallSum    float64 `json:"stall_s_sum"`
	StallP99    float64 `json:"stall_ms_p99"`
	FirstBreach string  `json:"first_breach,omitempty"`
}

// Check returns ErrTarget unless all addresses are on loopback.
func (o Options) Check() error {
	for _, u := range o.URLs {
		p, err := url.Parse(u)
		if err != nil {
			return fmt.Errorf("%w: %v", ErrTarget, err)
		}
		ip := net.ParseIP(p.Hostname())
		if ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("%w: %s", ErrTarget, u)
		}
	}
	return nil
}

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
	maxAttempts     = 20
	resumeDelay     = 100 * time.Millisecond
)

type collector struct {
	mu     sync.Mutex
	report Report
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
	stall  *hdrhistogram.Histogram
}

func newCollector() *collector {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &collector{first: newHistogram(), gap: newHistogram(), stall: newHistogram()}
}

// Run sends the load and returns when the last request has ended.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Check(); err != nil {
		return Report{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: o.Requests}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	c := newCollector()
	started := time.Now()
	next := started
	var wg sync.WaitGroup
	for i := range o.Requests {
		body := o.requestBody(rng, i)
		next = next.Add(time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			break
		}
		wg.Go(func() { o.runRequest(ctx, client, c, i, body) })
	}
	wg.Wait()
	return c.result(time.Since(started)), nil
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

func (o Options) requestBody(rng *rand.Rand, i int) string {
	out := int(o.Output * math.Exp(o.Spread*rng.NormFloat64()))
	out = min(max(out, 1), o.MaxOutput)
	filler := make([]byte, max(0, o.Prompt*4-16))
	for j := range filler {
		filler[j] = 'a' + byte(rng.IntN(26))
	}
	return fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"request %d out=%d %s"}]}`, o.Model, i, out, filler)
}

// runRequest sends one request and reads its stream to the end. If Resume is set, it resumes the stream
// after broken connections.
func (o Options) runRequest(ctx context.Context, client *http.Client, c *collector, i int, body string) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	s := &stream{now: time.Now, started: time.Now(), direct: o.Direct}
	var e streamEnd
	resumed := false
	for attempt := range maxAttempts {
		e, _ = s.send(ctx, client, o.URLs[(i+attempt)%len(o.URLs)], o.Key, body)
		retryable := e == endBroken || (e == endRefused && s.lastID != "")
		if !o.Resume || !retryable || ctx.Err() != nil || s.lastID == "" {
			break
		}
		resumed = true
		time.Sleep(resumeDelay)
	}
	c.record(s, e, resumed)
}

func (c *collector) record(s *stream, e streamEnd, resumed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.report
	r.Asked++
	r.Tokens += s.tokens
	if resumed {
		r.Resumed++
	}
	switch e {
	case endComplete:
		r.Whole++
	case endCut:
		r.Cut++
	case endRefused:
		r.Refused++
	default:
		r.Broken++
	}
	if s.breach != nil {
		r.Breaches++
		if r.FirstBreach == "" {
			r.FirstBreach = s.breach.Error()
		}
	}
	if s.tokens > 0 {
		_ = c.first.RecordValue(s.firstTokenDelay.Microseconds())
		_ = c.stall.RecordValue(s.stallTime.Microseconds())
		r.StallSum += s.stallTime.Seconds()
	}
	for _, g := range s.gaps {
		_ = c.gap.RecordValue(g.Microseconds())
	}
}

const (
	p50         = 50
	p95         = 95
	p99         = 99
	microsPerMS = 1000
)

func (c *collector) result(took time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	ms := func(h *hdrhistogram.Histogram, p float64) float64 {
		return float64(h.ValueAtQuantile(p)) / microsPerMS
	}
	r := c.report
	r.Seconds = took.Seconds()
	r.FirstP50, r.FirstP99 = ms(c.first, p50), ms(c.first, p99)
	r.GapP50, r.GapP95, r.GapP99 = ms(c.gap, p50), ms(c.gap, p95), ms(c.gap, p99)
	r.StallP99 = ms(c.stall, p99)
	return r
}
