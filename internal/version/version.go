// Package version identifies the build of the running program for its help and version output.
package version

import "runtime/debug"

// String returns the module version and, if known, the source revision.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return v + " " + s.Value
		}
	}
	return v
}
