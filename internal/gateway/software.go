package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/origin"
	"github.com/sparshore/sparshore/internal/originstore"
)

// The reasons for refusing to resume a stream.
var (
	errOriginUnknown     = errors.New("the software version that began this stream is not known")
	errOriginNotAnswered = errors.New("other entries have not said which software version began this stream")
	errOriginNotStored   = errors.New("the store has not said which software version began this stream")
	errVersionGone       = errors.New("no engine of the software version that began this stream serves")
)

// originRetryDelay is the retry delay of a caller that resumes a stream while other entries or the store do not
// answer.
const originRetryDelay = 300 * time.Millisecond

// streamSoftware tells at which software version a stream may go on. What engines of two versions write does
// not fit together.
type streamSoftware struct {
	// begun is set once the caller has an event. Before that, any version will do.
	begun bool
	// version began the stream. known is unset if it cannot be told which one did.
	version string
	known   bool
}

// fits reports whether a stream may go on at an upstream.
func (v streamSoftware) fits(u fleet.Upstream) bool {
	return !v.begun || v.known && u.Software == v.version
}

// The sources of the software version of a resumed stream, besides those of package origin.
const (
	// sourceOnlyVersion means that no other version served for as long as the stream may have run.
	sourceOnlyVersion origin.Source = "only version"
	// sourceStore means that the store has the stream.
	sourceStore origin.Source = "store"
	// sourceNotNamed means that the caller does not name the request that began the stream.
	sourceNotNamed origin.Source = "not named"
	// sourceNoStore means that no entry knows the stream, and the store has not answered or this entry has not
	// read the upstreams from it.
	sourceNoStore origin.Source = "no store"
)

// StoredOrigins gives access to what the entries stored of streams, for the time after a loss of all of them.
type StoredOrigins struct {
	// Find returns what the store has for a stream of a service, as it was at the given time or later.
	Find func(ctx context.Context, k origin.Key, service string, after time.Time) (originstore.Stored, error)
	// Confirm waits a short time until the store has that a software version of a service is in service.
	Confirm func(ctx context.Context, o origin.Origin) bool
}

// findOrigin finds out which software version began the stream that a caller resumes. It refuses the request
// and returns false if that cannot be told.
func (g *Gateway) findOrigin(ctx context.Context, rq *request) bool {
	if rq.service.Engine == nil || !rq.call.ResumesStream() {
		return true
	}
	asked, source, o := g.now(), sourceNotNamed, origin.Origin{}
	if rq.call.Resumes != "" {
		o, source = g.origins.Lookup(ctx, origin.KeyOf(rq.call.Resumes))
	}
	var stored originstore.Stored
	var unverified, err error
	if source != origin.FromRecord && source != origin.FromPeer {
		// The stream began before the request came, and its version was in service by then.
		unverified = g.peers.VerifyUpstreams(ctx, rq.start)
		o, source = g.onlyVersion(rq, source, unverified)
	}
	if o == (origin.Origin{}) {
		since, _ := g.fleet.FollowedSince()
		stored, err = g.peers.StoredOrigins.Find(ctx, origin.KeyOf(rq.call.Resumes), rq.service.Name, since)
		o, source = g.storedOrigin(rq, source, stored, errors.Join(err, unverified))
	}
	followed, _ := g.followedFor()
	g.met.resumed(source)
	g.rec.Note(events.StreamOrigin, rq.call.ID, "resumes", rq.call.Resumes, "after-event", rq.call.LastEvent, "source", source, "service", o.Service, "software", o.Software, "followed", followed, "view-age", g.now().Sub(g.fleet.FollowedUntil()), "silent-entries", g.origins.Silent(), "stored", stored.Versions, "error", err, "unverified", unverified, "took", g.now().Sub(asked))
	switch source {
	case origin.FromRecord, origin.FromPeer, sourceStore, sourceOnlyVersion:
		rq.software = streamSoftware{begun: true, version: o.Software, known: true}
		g.returnToService(rq, o.Service)
		return true
	case origin.NoAnswer, origin.FromSome:
		g.refuseUnanswered(ctx, rq, errOriginNotAnswered)
	case sourceNoStore:
		g.refuseUnanswered(ctx, rq, errOriginNotStored)
	default:
		g.refuse(rq, http.StatusServiceUnavailable, errOriginUnknown.Error(), 0)
	}
	return false
}

// refuseUnanswered refuses to resume a stream whose origin may be learned a moment later.
func (g *Gateway) refuseUnanswered(ctx context.Context, rq *request, why error) {
	if ctx.Err() != nil {
		g.giveUp(ctx, rq, why.Error())
		return
	}
	g.refuse(rq, http.StatusServiceUnavailable, why.Error(), originRetryDelay)
}

// followedFor returns for how long this entry has known all upstreams without a gap; ok is false if it does not
// know them now.
func (g *Gateway) followedFor() (d time.Duration, ok bool) {
	since, ok := g.fleet.FollowedSince()
	if !ok {
		return 0, false
	}
	return g.now().Sub(since), true
}

// onlyVersion returns the software version that began a stream which no entry knows, if this entry knew all
// upstreams for as long as the stream may have run until the request came, and all had that version. unverified is the
// reason if they may not be known until then.
func (g *Gateway) onlyVersion(rq *request, source origin.Source, unverified error) (origin.Origin, origin.Source) {
	longest := longestStream(rq)
	versions := g.fleet.SoftwareSince(rq.service.Name, g.now().Add(-longest))
	followed, ok := g.followedFor()
	if unverified != nil || source == origin.NoAnswer || severalServices(rq) || len(versions) != 1 || !ok || followed < longest || longest > fleet.SoftwareRetention {
		return origin.Origin{}, source
	}
	return origin.Origin{Service: rq.service.Name, Software: versions[0]}, sourceOnlyVersion
}

// storedOrigin returns the software version that began a stream by what the store has. Streams that it does not
// have began at the only version in service, if this entry has known the upstreams since the store was read until the
// request came. err is the reason if one of the two is not known.
func (g *Gateway) storedOrigin(rq *request, source origin.Source, stored originstore.Stored, err error) (origin.Origin, origin.Source) {
	switch {
	case stored.Known:
		return stored.Origin, sourceStore
	case err != nil:
		return origin.Origin{}, sourceNoStore
	case source == origin.NoAnswer:
		return origin.Origin{}, source
	}
	longest := longestStream(rq)
	versions := g.fleet.SoftwareSince(rq.service.Name, g.now().Add(-longest))
	others := slices.ContainsFunc(versions, func(v string) bool { return !slices.Contains(stored.Versions, v) })
	if severalServices(rq) || len(stored.Versions) != 1 || stored.KeptFor < longest || others || longest > fleet.SoftwareRetention {
		return origin.Origin{}, source
	}
	if since, followed := g.fleet.FollowedSince(); !followed || since.After(stored.AsOf) {
		return origin.Origin{}, sourceNoStore
	}
	return origin.Origin{Service: rq.service.Name, Software: stored.Versions[0]}, sourceOnlyVersion
}

// severalServices reports whether the route of a request leads to several services with engines. The versions of one
// of them then tell nothing of a stream that another one may have begun.
func severalServices(rq *request) bool {
	n := 0
	for _, share := range rq.route.Shares {
		if service, ok := rq.table.Service(share.Service); ok && service.Engine != nil {
			n++
		}
	}
	return n > 1
}

// returnToService makes a resumed stream go to the service that began it, if its route still leads there.
func (g *Gateway) returnToService(rq *request, name string) {
	for _, share := range rq.route.Shares {
		if share.Service != name {
			continue
		}
		if service, ok := rq.table.Service(name); ok && service.Engine != nil {
			rq.service = service
		}
	}
}

// longestStream returns how long before now a stream that is resumed may have begun.
func longestStream(rq *request) time.Duration {
	timeout := rq.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return max(2*timeout, rq.call.Deadline.Sub(rq.start))
}

// resumableUntil returns the time until which the caller of a stream may resume it.
func resumableUntil(rq *request) time.Time {
	if !rq.call.Deadline.IsZero() {
		return rq.call.Deadline
	}
	return rq.start.Add(longestStream(rq))
}

// begin records that an engine wrote the first event of an answer. Other entries learn the software version
// before the caller has the event, so that the caller can resume the stream if this entry ends, and the store has
// that the version is in service, so that a process which starts after a loss of all entries does not take another
// one for the only one.
func (s *stream) begin(ctx context.Context, at fleet.Upstream) {
	s.mu.Lock()
	if !s.software.begun {
		s.software = streamSoftware{begun: true, version: at.Software, known: s.g.softwareCertain(at)}
	}
	software := s.software
	s.mu.Unlock()
	if !software.known || !s.rq.route.Repeats() {
		return
	}
	id := s.rq.call.ID
	if s.rq.call.Resumes != "" {
		id = s.rq.call.Resumes
	}
	o := origin.Origin{Service: s.rq.service.Name, Software: software.version}
	s.g.peers.StoredOrigins.Confirm(ctx, o)
	s.g.origins.Began(origin.KeyOf(id), o, resumableUntil(s.rq))
}

// softwareCertain reports whether a request that was sent to an upstream ran at the software version that was
// known of it. Until the row of a later incarnation is read, requests for the earlier one may run there.
func (g *Gateway) softwareCertain(at fleet.Upstream) bool {
	latest, known := g.fleet.Latest(at.Name)
	return !known || latest.Software == at.Software
}

// noteRestart makes a stream end where it is if its engine has started again with other software: the stream
// may have run at either version.
func (s *stream) noteRestart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.software.begun && s.software.known && !s.g.softwareCertain(s.at) {
		s.software.known = false
	}
}

// fits reports whether the stream may go on at an engine.
func (s *stream) fits(u fleet.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.software.fits(u)
}

// available returns the engines that take new work and that the stream may run at.
func (s *stream) available() []fleet.Upstream {
	s.mu.Lock()
	software := s.software
	s.mu.Unlock()
	switch {
	case !software.begun:
		return s.g.fleet.Available(s.rq.service.Name)
	case !software.known:
		return nil
	}
	return s.g.fleet.AvailableOf(s.rq.service.Name, software.version)
}

// excludeOtherSoftware adds to exclude the engines at which the stream may not go on.
func (s *stream) excludeOtherSoftware(exclude map[string]bool) map[string]bool {
	if !s.begun() {
		return exclude
	}
	others := map[string]bool{}
	for _, u := range s.g.fleet.Available(s.rq.service.Name) {
		if !s.fits(u) {
			others[u.ID] = true
		}
	}
	return union(exclude, others)
}

// begun reports whether the caller has a part of the stream, from this answer or an earlier one.
func (s *stream) begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.software.begun
}

// Origins returns the set of streams and the software versions that began them.
func (g *Gateway) Origins() *origin.Set { return g.origins }
