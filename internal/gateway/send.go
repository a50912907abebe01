package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/quarantine"
)

// The reasons for not sending a request that was accepted.
var (
	// errStopsFirst means that a planned stop would cut the request.
	errStopsFirst      = errors.New("this entry stops before the request would end")
	errKeyRevoked      = errors.New("no account holds this key any more")
	errKeysUnconfirmed = errors.New("the keys are not confirmed")
	errKeyMoved        = errors.New("another account holds this key now")
)

// keyMovedRetryDelay is the retry delay of a request whose key has moved. It can be served at once.
const keyMovedRetryDelay = 50 * time.Millisecond

// checkSend returns why a request must not be sent to an upstream now, although it was accepted: it may have waited
// since. It must be called right before each send of a request whose answer has not begun, and does not wait itself.
func (g *Gateway) checkSend(rq *request, at fleet.Upstream) error {
	if err := g.checkKey(rq); err != nil {
		return err
	}
	if err := checkCrashes(rq, rq.sent); err != nil {
		return err
	}
	rq.expected, rq.forecast = g.expectedDuration(rq, at, g.refusesCautiously())
	if g.stopsBefore(rq, rq.expected, rq.forecast) {
		return errStopsFirst
	}
	return nil
}

// checkKey returns why the keys in force do not allow a request that earlier ones allowed. It goes on by its route even if
// that has changed since it was accepted.
func (g *Gateway) checkKey(rq *request) error {
	if !rq.table.NeedsKey(rq.route) {
		return nil
	}
	read, trusted := g.readRoutes()
	if !g.servesKeys(read, trusted) {
		return errKeysUnconfirmed
	}
	if read.Table == rq.table {
		return nil
	}
	account, ok := read.Table.AccountOf(rq.call.Key)
	switch {
	case !ok && !trusted:
		return errKeysUnconfirmed
	case !ok:
		return errKeyRevoked
	case account.Name != rq.account:
		return errKeyMoved
	}
	return nil
}

// checkCrashes returns why the crashes of upstreams during a request do not allow to send it. repeats is set if it may
// have run.
func checkCrashes(rq *request, repeats bool) error {
	switch {
	case !rq.run.MaySend():
		return quarantine.ErrQuarantined
	case repeats && !rq.run.MayRepeat():
		return quarantine.ErrOnTrial
	}
	return nil
}

// checkSend returns why the next attempt of a stream must not be sent. An answer that has begun goes on unless upstreams
// crashed under its request.
func (s *stream) checkSend(next step) error {
	if s.headSent {
		return checkCrashes(s.rq, next.from == nil)
	}
	return s.g.checkSend(s.rq, next.at)
}

// refuseAttempt ends a stream whose next attempt checkSend did not allow.
func (s *stream) refuseAttempt(ctx context.Context, next step, why error) {
	if next.from != nil {
		s.returnCopy(heldCopy{copy: *next.from, at: next.at})
	}
	if !s.headSent {
		s.g.refuseSend(s.rq, why)
		return
	}
	s.notResumedWhy = why.Error()
	s.abort(ctx)
}

// refuseSend answers a request that checkSend did not allow.
func (g *Gateway) refuseSend(rq *request, why error) {
	status, retryAfter := http.StatusServiceUnavailable, time.Duration(0)
	switch {
	case rq.sent:
		status = http.StatusBadGateway
	case errors.Is(why, quarantine.ErrQuarantined):
		g.met.quarantined.Inc()
	case errors.Is(why, errStopsFirst):
		retryAfter = g.retryDelayAfterStop()
	case errors.Is(why, errKeyRevoked):
		status = http.StatusUnauthorized
	case errors.Is(why, errKeysUnconfirmed):
		retryAfter = unreadyRetryDelay
	case errors.Is(why, errKeyMoved):
		retryAfter = keyMovedRetryDelay
	}
	g.refuse(rq, status, why.Error(), retryAfter)
}
