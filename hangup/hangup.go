// Package hangup keeps SIGHUP from ending the process. By default the signal ends a process until it is
// handled, and whoever changes the settings of many hosts sends it also to those that have just been started.
// This package imports little, so that it is initialized before most others, long before main.
//
// What is left is the time until the runtime has started, which no package can shorten.
//
// # Usage
//
//	for range hangup.Signals { // also a signal that came before main
//		reload()
//	}
//
// A command that the signal should end calls hangup.Reset first.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives SIGHUP, from the initialization of this package on. Of several that are not received yet it
// keeps one.
var Signals <-chan os.Signal = receive()

func receive() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Reset restores the default: SIGHUP ends the process.
func Reset() { signal.Reset(syscall.SIGHUP) }
