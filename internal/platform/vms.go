package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/sparshore/sparshore/internal/jsonbound"
)

// VMState is the state of a VM according to the platform.
type VMState string

// The states of a VM in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the VM list.
type VM struct {
	name    string
	zone    string
	address string
	state   VMState
}

// NewVM returns a row of the VM list.
func NewVM(name, zone, address string, state VMState) VM {
	return VM{name: name, zone: zone, address: address, state: state}
}

// Name returns the name of the VM.
func (v VM) Name() string { return v.name }

// Zone returns the VM's availability zone.
func (v VM) Zone() string { return v.zone }

// Address returns the address at which the system's process on the VM accepts peer connections.
func (v VM) Address() string { return v.address }

// Leaving reports whether the platform is about to remove the VM.
func (v VM) Leaving() bool { return v.state == VMLeaving }

// VMs is a client of the platform's VM list, which lags behind the actual state.
type VMs struct {
	// List returns the VMs as the platform last saw them.
	List func(ctx context.Context) ([]VM, error)
}

type vmRow struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone"`
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

type vmPage struct {
	VMs []vmRow `json:"vms"`
}

// NewVMs returns a client of the VM list at endpoint.
func NewVMs(endpoint string) *VMs {
	c := &vmClient{client: newHTTPClient(maxBodyBytes), url: strings.TrimSuffix(endpoint, "/") + "/v1/vms"}
	return &VMs{List: c.list}
}

// vmClient caches the last list and its ETag, so that reading an unchanged list transfers no rows.
type vmClient struct {
	client *http.Client
	url    string

	mu   sync.Mutex
	etag string
	last []VM
}

func (c *vmClient) list(ctx context.Context) ([]VM, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, fmt.Errorf("vm list: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		r.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("vm list: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return c.last, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("vm list: status %d", resp.StatusCode)
	}
	var page vmPage
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("vm list: %w", err)
	}
	if err := jsonbound.Unmarshal(body, maxBodyBytes, &page); err != nil {
		return nil, fmt.Errorf("vm list: %w", err)
	}
	out := make([]VM, 0, len(page.VMs))
	for _, v := range page.VMs {
		out = append(out, NewVM(v.Name, v.Zone, v.Address, v.State))
	}
	c.etag, c.last = resp.Header.Get("ETag"), out
	return out, nil
}
