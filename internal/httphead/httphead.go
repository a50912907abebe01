// Package httphead checks the heads and trailers of HTTP/1 responses. net/http is lenient: it passes on heads that the
// standards forbid, and reads some otherwise than the server meant, for example a Content-Length whose name ends with a
// blank.
package httphead

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"golang.org/x/net/http/httpguts"

	"github.com/sparshore/sparshore/internal/sizebound"
)

// ErrInvalid is wrapped for a response whose head or trailer is not valid.
var ErrInvalid = errors.New("invalid response head")

// MaxInformational bounds the number of informational (1xx) responses before a response.
const MaxInformational = 16

// maxStatus is the highest status code of RFC 9110, section 15.
const maxStatus = 599

// Check returns an error that wraps ErrInvalid if the head of a response is not valid. No request of this program asks for
// another protocol, so 101 is not.
func Check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %.20q", ErrInvalid, resp.Proto)
	case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %.20q", ErrInvalid, resp.Status)
	case !httpguts.ValidHeaderFieldValue(resp.Status):
		return fmt.Errorf("%w: reason %.40q", ErrInvalid, resp.Status)
	}
	return CheckFields(resp.Header)
}

// CheckFields returns an error that wraps ErrInvalid if a name or a value of a header or trailer is not valid.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.40q", ErrInvalid, name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("%w: value %.40q of %s", ErrInvalid, v, name)
			}
		}
	}
	return nil
}

// Transport is an http.Transport whose responses are checked.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	informational := 0
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		if informational++; informational > MaxInformational {
			return fmt.Errorf("%w: more than %d informational responses", sizebound.ErrTooLong, MaxInformational)
		}
		return CheckFields(http.Header(h))
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, resp: resp}
	return resp, nil
}

// body is the body of a response whose trailer is checked.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read reads from the body. At its end, it returns an error that wraps ErrInvalid if the trailer is not valid.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if err := CheckFields(b.resp.Trailer); err != nil {
			return n, err
		}
	}
	return n, err
}
