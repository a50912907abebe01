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

// zoneStatus counts the processes of one zone that are on the VM list.
type zoneStatus struct {
	Zone        string `json:"zone"`
	Processes   int    `json:"processes"`
	Up          int    `json:"up"`
	Leaving     int    `json:"leaving"`
	Unreachable int    `json:"unreachable"`
	// LowestVersion is the lowest version in force among the processes that are up.
	LowestVersion int64 `json:"lowest_version"`
	// BlocksChanges is set if no change can be accepted because of this zone.
	BlocksChanges bool `json:"blocks_changes"`
}

func (*zoneStatusCommand) run(env *environment) error {
	var b statusResponse
	if err := env.api.call(http.MethodGet, "/status", nil, &b); err != nil {
		return err
	}
	zones := summarizeZones(b.Peers)
	if env.json {
		return env.printJSON(zones)
	}
	rows := make([][]any, 0, len(zones))
	for _, z := range zones {
		blocks := "no"
		if z.BlocksChanges {
			blocks = "yes"
		}
		rows = append(rows, []any{z.Zone, z.Processes, z.Up, z.Leaving, z.Unreachable, z.LowestVersion, blocks})
	}
	return env.table("ZONE\tPROCESSES\tUP\tLEAVING\tUNREACHABLE\tLOWEST VERSION\tBLOCKS CHANGES", rows, "%s\t%d\t%d\t%d\t%d\t%d\t%s")
}

// summarizeZones counts processes by zone. A process that is unreachable and not leaving blocks
// changes until it answers or is removed from the VM list.
func summarizeZones(peers []peerStatus) []zoneStatus {
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
			z.BlocksChanges = true
		default:
			z.Up++
			if z.LowestVersion == 0 || p.Version < z.LowestVersion {
				z.LowestVersion = p.Version
			}
		}
	}
	out := make([]zoneStatus, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, *byName[name])
	}
	return out
}
