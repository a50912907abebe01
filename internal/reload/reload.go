// Package reload receives the signal that asks a process to reread its settings.
//
// It imports nothing but the signal packages, so that it is initialized before nearly all others. From then on
// SIGHUP does not end the process, which is its default action.
package reload

import (
	"os"
	"os/signal"
	"syscall"
)

var requests = receive()

func receive() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Requests returns the channel of requests to reread the settings. Requests that come while one is
// waiting to be received are merged with it.
func Requests() <-chan os.Signal { return requests }
