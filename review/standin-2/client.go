package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// balancer passes new channels of clients to gateways, as the platform does: it asks each gateway every second whether
// it is ready, and passes no new channels to one that was not twice in a row.
type balancer struct {
	mu       sync.Mutex
	gateways []*gateway
	misses   map[*gateway]int
}

func newBalancer(gateways ...*gateway) *balancer {
	b := &balancer{gateways: gateways, misses: map[*gateway]int{}}
	go func() {
		for ; ; time.Sleep(time.Second) {
			for _, g := range gateways {
				ready := g.isReady()
				b.mu.Lock()
				if b.misses[g]++; ready {
					b.misses[g] = 0
				}
				b.mu.Unlock()
			}
		}
	}()
	return b
}

// pick returns the gateway for a new channel: the preferred one, or another one if that is out.
func (b *balancer) pick(preferred *gateway) *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.misses[preferred] < 2 {
		return preferred
	}
	for _, g := range b.gateways {
		if b.misses[g] < 2 {
			return g
		}
	}
	return preferred
}

// client keeps one channel.
type client struct {
	name     string
	home     *gateway
	balancer *balancer
	rec      *record
	at       *gateway
	http     *http.Client
	n        int
}

func newClient(name string, home *gateway, b *balancer, rec *record) *client {
	return &client{name: name, home: home, balancer: b, rec: rec}
}

// reply is how a request ended.
type reply struct {
	id     string
	at     *gateway
	sent   time.Time
	ended  time.Time
	status int
	// events is the number of events of a stream, and whole is set if the answer was complete.
	events int
	whole  bool
	err    error
}

// do sends a request on the kept channel, or on a new one if there is none.
func (c *client) do(method, path, usage string, body []byte, deadline time.Duration) reply {
	if c.http == nil {
		c.at = c.balancer.pick(c.home)
		c.http = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 12 * time.Second}}
	}
	c.n++
	r := reply{id: fmt.Sprintf("%s-%d", c.name, c.n), at: c.at, sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+c.at.listen+path, bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.Host = host
	// Otherwise net/http would send the request again by itself.
	req.GetBody = nil
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set(wire("headerDeadline"), fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	if usage != "" {
		req.Header.Set(wire("headerModel"), "m")
		req.Header.Set(wire("headerUsage"), usage)
	}
	c.rec.note("client %s sends %s (%s, tokens %s) to %s", c.name, r.id, path, usage, c.at.name)
	resp, err := c.http.Do(req)
	if err != nil {
		r.err, r.ended = err, time.Now()
		c.rec.note("client %s gets no answer to %s: %v", c.name, r.id, err)
		c.drop()
		return r
	}
	r.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	r.events, r.whole, r.err, r.ended = bytes.Count(text, []byte("\ndata: ")), err == nil, err, time.Now()
	c.rec.note("client %s gets %d to %s from %s, signature %q, %d events, %d bytes, error %v", c.name, r.status, r.id, c.at.name, resp.Header.Get(wire("headerSignature")), r.events, len(text), err)
	if resp.Close || err != nil {
		c.drop()
	}
	return r
}

// drop closes the channel.
func (c *client) drop() {
	if c.http != nil {
		c.http.CloseIdleConnections()
		c.http = nil
	}
}
