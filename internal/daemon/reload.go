package daemon

import (
	"context"
	"os"

	"github.com/sparshore/sparshore/internal/events"
)

// logReloads handles requests to reread the settings by logging them. Settings are flags and environment
// variables, so changing them takes a restart. What may change while a process runs is in the stores of
// the platform.
func logReloads(ctx context.Context, requests <-chan os.Signal, rec *events.Recorder, settings string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests:
			rec.Note(events.SettingsReread, "", "taken-over", "none", "settings", settings)
		}
	}
}
