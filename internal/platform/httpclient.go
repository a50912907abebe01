package platform

import "net/http"

// newHTTPClient returns a client for calls to the services of the platform.
func newHTTPClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &freshTransport{transport: http.DefaultTransport.(*http.Transport).Clone()}}
}

// freshTransport drops the idle connections after a call that got no answer. Connections may fall silent
// together, and each idle one would cost a call its whole time limit.
type freshTransport struct {
	transport *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (f *freshTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := f.transport.RoundTrip(r)
	if err != nil {
		f.transport.CloseIdleConnections()
	}
	return resp, err
}
