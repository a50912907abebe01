package reconnect

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/sizebound"
	"github.com/sparshore/sparshore/internal/sizebound/sizeboundtest"
)

// Guards against a server that fills the memory with an answer without end, and against an answer that is cut at
// the bound and taken for a whole one.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\n"
	for _, tc := range []struct {
		name          string
		start, repeat string
		// head is set if the transport refuses the head, with an error of its own.
		head bool
	}{
		{"status line", "HTTP/1.1 200 ", "x", true},
		{"header line", ok + "X-Filler: ", "x", true},
		{"header lines", ok, "X-Filler: x\n", true},
		{"informational answers", "", "HTTP/1.1 100 Continue\n\n", true},
		{"many header lines", ok + strings.Repeat("a:\n", sizebound.MaxHeadLines) + "Content-Length: 2\n\n", "x", false},
		{"body", ok + "\n", "x", false},
		{"body in chunks", ok + "Transfer-Encoding: chunked\n\n", "400\n" + strings.Repeat("x", 1024) + "\n", false},
		{"body of an absurd length", ok + "Content-Length: 1000000000000\n\n", "x", false},
		{"body of a failure", "HTTP/1.1 500 Internal Server Error\n\n", "x", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			url, _ := sizeboundtest.Serve(t, tc.start, tc.repeat)
			transport := &http.Transport{}
			read := sizeboundtest.CountReads(transport)
			client := New(Settings{OverdueMin: limit, OverdueMax: limit, MaxBody: 1 << 20}, func() *http.Transport { return transport }, events.Nop(), time.Now)
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			var err error
			allocated := sizeboundtest.Allocated(func() { _, err = client.Do(ctx, Request{Method: http.MethodGet, URL: url}) })
			if err == nil || ctx.Err() != nil || !tc.head && !errors.Is(err, sizebound.ErrTooLong) {
				t.Errorf("error %v, want %v", err, sizebound.ErrTooLong)
			}
			if n := read.Load(); n > sizeboundtest.MaxRead {
				t.Errorf("%d bytes were read, want at most %d", n, sizeboundtest.MaxRead)
			}
			if allocated > sizeboundtest.MaxAllocated {
				t.Errorf("%d bytes were allocated, want at most %d", allocated, sizeboundtest.MaxAllocated)
			}
		})
	}
}

// Guards against a server that sends long answers on all connections and fills the memory, though each answer is
// bounded: eight were read at once for the two tables that are followed and two lists, each repeated once. Afterwards
// the longest answer that is allowed is read.
func TestLongAnswersAtOnceAreBounded(t *testing.T) {
	const calls, maxBody, sent, arrival = 8, 4 << 20, 3 << 20, 500 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/longest" {
			_, _ = w.Write(make([]byte, maxBody))
			return
		}
		_, _ = w.Write(make([]byte, sent))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	client := New(Settings{OverdueMin: limit, OverdueMax: limit, MaxBody: maxBody}, func() *http.Transport { return &http.Transport{} }, events.Nop(), time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	var refused atomic.Int64
	for range calls {
		wg.Go(func() {
			if _, err := client.Do(ctx, Request{Method: http.MethodGet, URL: server.URL}); errors.Is(err, sizebound.ErrTooLong) {
				refused.Add(1)
			}
		})
	}
	time.Sleep(arrival)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if n := int64(after.HeapAlloc) - int64(before.HeapAlloc); n > sizeboundtest.MaxAllocated {
		t.Errorf("%d bytes are held, want at most %d", n, sizeboundtest.MaxAllocated)
	}
	t.Logf("%d of %d answers were refused, %d bytes are held", refused.Load(), calls, int64(after.HeapAlloc)-int64(before.HeapAlloc))
	if refused.Load() == 0 {
		t.Error("no answer was refused")
	}
	cancel()
	wg.Wait()
	if n := client.largeBytes.Load(); n != 0 {
		t.Errorf("%d bytes are counted after the end of all calls", n)
	}
	a, err := client.Do(t.Context(), Request{Method: http.MethodGet, URL: server.URL + "/longest"})
	if err != nil || len(a.Body) != maxBody {
		t.Errorf("%d bytes, %v; want %d", len(a.Body), err, maxBody)
	}
}

// Guards against an answer that ends before its announced length and is taken for a whole one.
func TestCutAnswerIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	}))
	defer server.Close()
	client := New(Settings{OverdueMin: limit, OverdueMax: limit, MaxBody: 1 << 20}, func() *http.Transport { return &http.Transport{} }, events.Nop(), time.Now)
	if a, err := client.Do(t.Context(), Request{Method: http.MethodGet, URL: server.URL}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%q, %v; want %v", a.Body, err, io.ErrUnexpectedEOF)
	}
}
