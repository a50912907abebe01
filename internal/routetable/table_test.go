package routetable

import "testing"

func table() *Table {
	return New(3, []Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "mid", Host: "a.example", Prefix: "/x/"},
		{Name: "open", Host: "b.example", Prefix: "/", Public: true},
	}, nil, Limits{}, []Account{{Name: "acme", Keys: []string{"k1", "k2"}}})
}

func TestMatch(t *testing.T) {
	for _, tc := range []struct{ name, host, path, want string }{
		{"the longest prefix wins", "a.example", "/x/y/z", "deep"},
		{"a shorter prefix if the longest does not match", "a.example", "/x/z", "mid"},
		{"the root prefix matches all other paths", "a.example", "/q", "root"},
		{"a prefix matches only with its final slash", "a.example", "/x", "root"},
		{"hosts are case-insensitive", "A.Example", "/q", "root"},
		{"a port is ignored", "a.example:80", "/q", "root"},
		{"an unknown host", "c.example", "/", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := ""
			if r, ok := table().Match(tc.host, tc.path); ok {
				got = r.Name
			}
			if got != tc.want {
				t.Errorf("route %q, want %q", got, tc.want)
			}
		})
	}
}

func TestAccounts(t *testing.T) {
	tab := table()
	if a, ok := tab.AccountOf("k2"); !ok || a.Name != "acme" {
		t.Errorf("k2 belongs to %v, %v; want acme", a, ok)
	}
	for _, key := range []string{"", "k3"} {
		if _, ok := tab.AccountOf(key); ok {
			t.Errorf("key %q has an account", key)
		}
	}
	root, _ := tab.Match("a.example", "/")
	open, _ := tab.Match("b.example", "/")
	if !tab.NeedsKey(root) || tab.NeedsKey(open) {
		t.Error("only routes that are not public need a key")
	}
}

func TestPick(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	for roll, want := range map[float64]string{0: "a", 0.899: "a", 0.901: "b", 0.9999: "b"} {
		if got := r.Pick(roll); got != want {
			t.Errorf("roll %v picks %q, want %q", roll, got, want)
		}
	}
	if got := (&Route{}).Pick(0.5); got != "" {
		t.Errorf("a route without services picks %q", got)
	}
}

func TestRepeats(t *testing.T) {
	for _, tc := range []struct {
		name  string
		route Route
		want  bool
	}{
		{"repeatable", Route{Kind: Repeatable}, true},
		{"once", Route{Kind: Once, Resumable: true}, false},
		{"stream", Route{Kind: Stream}, false},
		{"resumable stream", Route{Kind: Stream, Resumable: true}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.route.Repeats(); got != tc.want {
				t.Errorf("repeats %v, want %v", got, tc.want)
			}
		})
	}
}
