package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
)

// errStopsFirst means that a planned stop would cut a request.
var errStopsFirst = errors.New("this entry stops before the request would end")

// checkSend returns why a request must not be sent to an upstream now, although it was accepted: it may have waited since. It must be
// called right before each send of a request whose answer has not begun, and does not wait itself.
func (g *Gateway) checkSend(rq *request, at fleet.Upstream) error {
	rq.expected, rq.forecast = g.expectedDuration(rq, at)
	if left, stopping := g.timeToStop(rq); stopping && rq.expected > left {
		return errStopsFirst
	}
	return nil
}

// refuseSend answers a request that checkSend did not allow.
func (g *Gateway) refuseSend(rq *request, why error) {
	status, retryAfter := http.StatusServiceUnavailable, time.Duration(0)
	switch {
	case rq.sent:
		status = http.StatusBadGateway
	case errors.Is(why, errStopsFirst):
		retryAfter = g.retryDelayAfterStop()
	}
	g.refuse(rq, status, why.Error(), retryAfter)
}
