package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sparshore/sparshore/internal/events"
)

// watchReload answers SIGHUP, which would end the process otherwise. Settings
// are flags and environment variables, so a change of them takes a restart; what
// changes while a process runs is in the platform's stores.
func watchReload(ctx context.Context, rec *events.Recorder, settings string) {
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
