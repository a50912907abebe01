package ctl

import (
	"maps"
	"net/http"
	"slices"
)

type zoneCommand struct {
	Status *zoneStatusCommand `arg:"subcommand:status" help:"show each zone's processes and versions"`
}

func (*zoneCommand) run(*environment) error { return errSubcommand }

type zoneStatusCommand struct{}

// zoneStatus sums up the processes that the VM list shows in one zone.
type zoneStatus struct {
	Zone        string `json:"zone"`
	Processes   int    `json:"processes"`
	Up          int    `json:"up"`
	Leaving     int    `json:"leaving"`
	Unreachable int    `json:"unreachable"`
	// Lowest is the lowest version in force among the processes that are up.
	Lowest int64 `json:"lowest_version"`
	// Blocks is set when the zone keeps changes from being accepted.
	Blocks bool `json:"blocks_changes"`
}

func (*zoneStatusCommand) run(env *environment) error {
	var b statusBody
	if err := env.api.call(http.MethodGet, "/status", nil, &b); err != nil {
		return err
	}
	zones := sumZones(b.Peers)
	if env.json {
		return env.printJSON(zones)
	}
	rows := make([][]any, 0, len(zones))
	for _, z := range zones {
		blocks := "no"
		if z.Blocks {
			blocks = "yes"
		}
		rows = append(rows, []any{z.Zone, z.Processes, z.Up, z.Leaving, z.Unreachable, z.Lowest, blocks})
	}
	return env.table("ZONE\tPROCESSES\tUP\tLEAVING\tUNREACHABLE\tLOWEST VERSION\tBLOCKS CHANGES", rows, "%s\t%d\t%d\t%d\t%d\t%d\t%s")
}

// sumZones groups processes by zone. One that cannot be reached and is not
// leaving blocks changes until it answers or the VM list drops it.
func sumZones(peers []peerStatus) []zoneStatus {
	byName := map[string]*zoneStatus{}
	for _, p := range peers {
		z := byName[p.Zone]
		if z == nil {
			z = &zoneStatus{Zone: p.Zone}
			byName[p.Zone] = z
		}
		z.Processes++
		switch p.State {
		case "leaving":
			z.Leaving++
		case "unreachable":
			z.Unreachable++
			z.Blocks = true
		default:
			z.Up++
			if z.Lowest == 0 || p.Version < z.Lowest {
				z.Lowest = p.Version
			}
		}
	}
	out := make([]zoneStatus, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, *byName[name])
	}
	return out
}
