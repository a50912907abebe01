package platform

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
)

// CountCalls wraps the function fields of the platform's clients to count their calls by kind and result in
// the metrics of reg.
func CountCalls(t *Table, o *Objects, v *VMs, reg prometheus.Registerer) {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sparshore_platform_calls_total", Help: "Calls to the platform's services.",
	}, []string{"call", "result"})
	reg.MustRegister(calls)
	countCall := func(call string, err error) {
		result := "ok"
		if err != nil {
			result = "error"
		}
		calls.WithLabelValues(call, result).Inc()
	}
	get, list, commit := t.Get, t.List, t.Commit
	t.Get = func(ctx context.Context, k Key) (Row, error) {
		r, err := get(ctx, k)
		countCall("table-get", err)
		return r, err
	}
	t.List = func(ctx context.Context, group string) ([]Row, error) {
		r, err := list(ctx, group)
		countCall("table-list", err)
		return r, err
	}
	t.Commit = func(ctx context.Context, writes ...Write) error {
		err := commit(ctx, writes...)
		countCall("table-commit", err)
		return err
	}
	put, fetch := o.Put, o.Get
	o.Put = func(ctx context.Context, name string, content []byte) error {
		err := put(ctx, name, content)
		countCall("object-put", err)
		return err
	}
	o.Get = func(ctx context.Context, name string) ([]byte, error) {
		b, err := fetch(ctx, name)
		countCall("object-get", err)
		return b, err
	}
	vms := v.List
	v.List = func(ctx context.Context) ([]VM, error) {
		l, err := vms(ctx)
		countCall("vm-list", err)
		return l, err
	}
}
