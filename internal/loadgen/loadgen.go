// Package loadgen sends a bounded, seeded, open-loop load of streamed requests
// to loopback addresses, checks every stream it reads, and reports what callers
// saw.
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

// Options describe a load.
type Options struct {
	// URLs are the entries, used in turn.
	URLs []string
	// Key is the client API key.
	Key string
	// Model is the model to ask for.
	Model string
	// Requests is the number of requests, Rate how many start a second.
	Requests int
	Rate     float64
	// Seed draws arrivals and lengths.
	Seed uint64
	// Prompt is the number of prompt tokens, Output the median of output
	// tokens and Spread the standard deviation of their logarithm.
	Prompt int
	Output float64
	Spread float64
	// MaxOutput bounds the output tokens of a request.
	MaxOutput int
	// Direct is set when the URLs are engines and not entries.
	Direct bool
	// Resume goes on with broken streams through the next entry.
	Resume bool
	// Within bounds one request.
	Within time.Duration
}

// Report is what callers saw.
type Report struct {
	Asked     int     `json:"asked"`
	Whole     int     `json:"whole"`
	Cut       int     `json:"cut"`
	Refused   int     `json:"refused"`
	Broken    int     `json:"broken"`
	Resumed   int     `json:"resumed"`
	Tokens    int64   `json:"tokens"`
	Seconds   float64 `json:"seconds"`
	Breaches  int     `json:"breaches"`
	FirstP50  float64 `json:"first_token_ms_p50"`
	FirstP99  float64 `json:"first_token_ms_p99"`
	GapP50    float64 `json:"token_gap_ms_p50"`
	GapP95    float64 `json:"token_gap_ms_p95"`
	GapP99    float64 `json:"token_gap_ms_p99"`
	StallSum  float64 `json:"stall_s_sum"`
	StallP99  float64 `json:"stall_ms_p99"`
	FirstFail string  `json:"first_breach,omitempty"`
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
	resumeTries     = 20
	resumePause     = 100 * time.Millisecond
)

type collector struct {
	mu     sync.Mutex
	report Report
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
	stall  *hdrhistogram.Histogram
}

func newCollector() *collector {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &collector{first: h(), gap: h(), stall: h()}
}

// Run sends the load and waits for its end.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Check(); err != nil {
		return Report{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: o.Requests}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	c := newCollector()
	began := time.Now()
	next := began
	var wg sync.WaitGroup
	for i := range o.Requests {
		body := o.body(rng, i)
		next = next.Add(time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			break
		}
		wg.Go(func() { o.one(ctx, client, c, i, body) })
	}
	wg.Wait()
	return c.result(time.Since(began)), nil
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

func (o Options) body(rng *rand.Rand, i int) string {
	out := int(o.Output * math.Exp(o.Spread*rng.NormFloat64()))
	out = min(max(out, 1), o.MaxOutput)
	filler := make([]byte, max(0, o.Prompt*4-16))
	for j := range filler {
		filler[j] = 'a' + byte(rng.IntN(26))
	}
	return fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"request %d out=%d %s"}]}`, o.Model, i, out, filler)
}

// one follows a request to its end, over broken connections if asked to.
func (o Options) one(ctx context.Context, client *http.Client, c *collector, i int, body string) {
	ctx, cancel := context.WithTimeout(ctx, o.Within)
	defer cancel()
	s := &stream{now: time.Now, started: time.Now(), direct: o.Direct}
	var e end
	resumed := false
	for try := range resumeTries {
		e, _ = s.ask(ctx, client, o.URLs[(i+try)%len(o.URLs)], o.Key, body)
		again := e == endBroken || (e == endRefused && s.lastID != "")
		if !o.Resume || !again || ctx.Err() != nil || s.lastID == "" {
			break
		}
		resumed = true
		time.Sleep(resumePause)
	}
	c.add(s, e, resumed)
}

func (c *collector) add(s *stream, e end, resumed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.report
	r.Asked++
	r.Tokens += s.tokens
	if resumed {
		r.Resumed++
	}
	switch e {
	case endWhole:
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
		if r.FirstFail == "" {
			r.FirstFail = s.breach.Error()
		}
	}
	if s.tokens > 0 {
		_ = c.first.RecordValue(s.first.Microseconds())
		_ = c.stall.RecordValue(s.stall.Microseconds())
		r.StallSum += s.stall.Seconds()
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
