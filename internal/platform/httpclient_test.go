package platform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestEachSilentConnectionCostsACall guards against calls that take one idle connection after the other, though
// all of them fell silent together.
func TestEachSilentConnectionCostsACall(t *testing.T) {
	const atOnce = 2
	type connKey struct{}
	var opened, silent atomic.Int64
	var together sync.WaitGroup
	together.Add(atOnce)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Context().Value(connKey{}).(int64) <= silent.Load() {
			<-r.Context().Done()
		}
		if r.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, opened.Add(1))
	}
	server.Start()
	t.Cleanup(server.Close)
	client := newHTTPClient(maxBodyBytes)
	get := func(path string) error {
		resp, err := client.Get(server.URL + path)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	var calls sync.WaitGroup
	for range atOnce {
		calls.Go(func() {
			if err := get("/together"); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	silent.Store(opened.Load())
	client.Timeout = 100 * time.Millisecond
	if err := get("/"); err == nil {
		t.Fatal("an answer on a silent connection")
	}
	client.Timeout = 3 * time.Second
	if err := get("/"); err != nil {
		t.Errorf("the next call: %v, want its answer on a new connection", err)
	}
}
