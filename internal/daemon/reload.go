package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sparshore/sparshore/internal/events"
)

// logReloads handles SIGHUP, which would terminate the process otherwise, by logging the settings.
// Settings are flags and environment variables, so changing them takes a restart. What may change
// while a process runs is in the stores of the platform.
func logReloads(ctx context.Context, rec *events.Recorder, settings string) {
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, syscall.SIGHUP)
	defer signal.Stop(sigs)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sigs:
			rec.Note(events.SettingsReread, "", "taken-over", "none", "settings", settings)
		}
	}
}
