package platform

import (
	"fmt"
	"io"
	"net/http"

	"github.com/sparshore/sparshore/internal/httphead"
	"github.com/sparshore/sparshore/internal/sizebound"
)

const (
	// maxBodyBytes bounds in bytes a body whose head does not announce its length, and any body except that
	// of an object. The table service sends at most 1 MB of rows, which base64 and the names can nearly
	// double; a list of 10,000 VMs has about 1 MB.
	maxBodyBytes = 1900 << 10
	// maxObjectBytes bounds an object, which announces its length.
	maxObjectBytes = 64 << 20
)

// newHTTPClient returns a client for calls to the services of the platform. Bodies whose length is announced may
// have most bytes.
func newHTTPClient(most int64) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = sizebound.MaxHeadBytes
	return &http.Client{Timeout: callTimeout, Transport: &freshTransport{transport: &httphead.Transport{Transport: transport}, most: most}}
}

// freshTransport drops the idle connections after a call that got no answer. Connections may fall silent
// together, and each idle one would cost a call its whole time limit. It bounds the answers.
type freshTransport struct {
	transport *httphead.Transport
	most      int64
}

// RoundTrip implements http.RoundTripper.
func (f *freshTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := f.transport.RoundTrip(r)
	if err != nil {
		f.transport.CloseIdleConnections()
		return resp, err
	}
	if !sizebound.Within(resp.Header) {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%w: more than %d header lines", sizebound.ErrTooLong, sizebound.MaxHeadLines)
	}
	most := f.most
	if resp.ContentLength < 0 {
		most = min(most, maxBodyBytes)
	}
	if resp.ContentLength > most {
		most = -1
	}
	resp.Body = &boundedBody{ReadCloser: resp.Body, left: most}
	return resp, nil
}

// boundedBody is a body of which only a bounded number of bytes is read.
type boundedBody struct {
	io.ReadCloser
	// left is how many bytes may still be read, and negative once the body has more.
	left int64
}

// Read reads from the body. It returns sizebound.ErrTooLong for a byte beyond the bound.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	b.left -= int64(n)
	if b.left < 0 {
		return 0, sizebound.ErrTooLong
	}
	return n, err
}
