package bench

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sparshore/sparshore/internal/enginemodel"
)

// Row holds the results of one contender on one trace at one load, over all seeds.
type Row struct {
	Trace     string  `json:"trace"`
	Load      float64 `json:"load"`
	Fault     string  `json:"fault,omitempty"`
	Contender string  `json:"contender"`
	// Preemptions is the number of preemptions by the engine and pauses by the scheduler per
	// 1,000 requests. The spreads are standard deviations over seeds.
	Preemptions       float64 `json:"preemptions_per_1000"`
	PreemptionsSpread float64 `json:"preemptions_spread"`
	StallP50          float64 `json:"stall_ms_p50"`
	StallP99          float64 `json:"stall_ms_p99"`
	StallShortP99     float64 `json:"stall_short_ms_p99"`
	StallLongP99      float64 `json:"stall_long_ms_p99"`
	StallPerRequest   float64 `json:"stall_ms_per_request"`
	GapP50            float64 `json:"gap_ms_p50"`
	GapP95            float64 `json:"gap_ms_p95"`
	GapP99            float64 `json:"gap_ms_p99"`
	FirstP50          float64 `json:"first_token_ms_p50"`
	FirstP99          float64 `json:"first_token_ms_p99"`
	Goodput           float64 `json:"goodput_tokens_per_s"`
	GoodputSpread     float64 `json:"goodput_spread"`
	Refused           float64 `json:"refused_percent"`
	// RefusedAfter is the median time from arrival to refusal.
	RefusedAfter float64 `json:"refused_after_ms_p50"`
	Lost         float64 `json:"lost_percent"`
}

// cell is one combination of a trace, a load and a fault. The alter function, if set, modifies
// the trace.
type cell struct {
	shape traceShape
	load  float64
	rate  float64
	fault string
	cond  conditions
	alter func(trace []arrival)
}

// traceLength is the virtual time during which requests arrive.
const traceLength = 4 * time.Minute

func (c cell) trace(seed uint64) []arrival {
	t := c.shape.generate(seed, c.rate*c.load, traceLength)
	if c.alter != nil {
		c.alter(t)
	}
	return t
}

// measure runs a contender on a cell once per seed and summarises the results.
func measure(f factory, c cell, seeds []uint64) Row {
	results := make([]*result, len(seeds))
	for i, seed := range seeds {
		results[i] = run(f, enginemodel.DefaultSettings(), c.trace(seed), c.cond)
	}
	return summarise(f.name, c, results)
}

const (
	p50         = 50
	p95         = 95
	p99         = 99
	perMille    = 1000
	percent     = 100
	microsPerMS = 1000
)

func summarise(name string, c cell, results []*result) Row {
	total := newResult()
	var preemptions, goodput []float64
	for _, s := range results {
		total.gap.Merge(s.gap)
		total.firstToken.Merge(s.firstToken)
		for k := range s.stall {
			total.stall[k].Merge(s.stall[k])
		}
		total.refusal.Merge(s.refusal)
		total.stallSum += s.stallSum
		total.requests += s.requests
		total.refused += s.refused
		total.lost += s.lost
		preemptions = append(preemptions, perMille*float64(s.preemptions)/float64(s.requests))
		goodput = append(goodput, float64(s.completedTokens)/s.length.Seconds())
	}
	all := newResult().gap
	for k := range total.stall {
		all.Merge(total.stall[k])
	}
	ms := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtQuantile(p)) / microsPerMS }
	r := Row{
		Trace: c.shape.name, Load: c.load, Fault: c.fault, Contender: name,
		StallP50: ms(all, p50), StallP99: ms(all, p99),
		StallShortP99: ms(total.stall[short], p99), StallLongP99: ms(total.stall[long], p99),
		StallPerRequest: float64(total.stallSum.Milliseconds()) / float64(total.requests),
		GapP50:          ms(total.gap, p50), GapP95: ms(total.gap, p95), GapP99: ms(total.gap, p99),
		FirstP50: ms(total.firstToken, p50), FirstP99: ms(total.firstToken, p99),
		Refused:      percent * float64(total.refused) / float64(total.requests),
		RefusedAfter: ms(total.refusal, p50),
		Lost:         percent * float64(total.lost) / float64(total.requests),
	}
	r.Preemptions, r.PreemptionsSpread = meanAndSpread(preemptions)
	r.Goodput, r.GoodputSpread = meanAndSpread(goodput)
	return r
}

func meanAndSpread(v []float64) (mean, spread float64) {
	for _, x := range v {
		mean += x / float64(len(v))
	}
	for _, x := range v {
		spread += (x - mean) * (x - mean) / float64(len(v))
	}
	return mean, math.Sqrt(spread)
}

// job is a contender and a cell, whose results make one row.
type job struct {
	factory factory
	cell    cell
}

// measureAll measures all jobs, GOMAXPROCS of them in parallel, and returns the rows in the order
// of the jobs.
func measureAll(jobs []job, seeds []uint64) []Row {
	rows := make([]Row, len(jobs))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i, j := range jobs {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			rows[i] = measure(j.factory, j.cell, seeds)
		})
	}
	wg.Wait()
	return rows
}

// Print writes rows as an aligned table.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "trace\tload\tfault\tcontender\tpreempt/1000\tstall p50\tstall p99\tstall ms/req\tgap p50\tgap p95\tgap p99\tfirst p50\tfirst p99\tgoodput\trefused %\tafter\tlost %\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%.1f\t%s\t%s\t%.1f±%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f±%.0f\t%.1f\t%.0f\t%.1f\t\n",
			r.Trace, r.Load, r.Fault, r.Contender, r.Preemptions, r.PreemptionsSpread, r.StallP50, r.StallP99, r.StallPerRequest,
			r.GapP50, r.GapP95, r.GapP99, r.FirstP50, r.FirstP99, r.Goodput, r.GoodputSpread, r.Refused, r.RefusedAfter, r.Lost)
	}
	return t.Flush()
}
