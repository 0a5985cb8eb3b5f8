// Package signals receives the signals that control the process of an instance.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are the received signals. Each kind has a channel of its own, so that none is lost because
// of many of another kind.
type Signals struct {
	Terminate <-chan os.Signal // SIGTERM and SIGINT
	Reload    <-chan os.Signal // SIGHUP
	Dump      <-chan os.Signal // SIGUSR1
}

const (
	maxTerminations = 2 // the first asks for a graceful shutdown, the second to abort it
	maxRepeated     = 1 // a request that is pending needs no repetition
)

// Receive receives the signals from now on. Until it is called each of them may end the process, so it
// has to be called before the process accepts anything.
func Receive() Signals {
	return Signals{
		Terminate: notify(maxTerminations, syscall.SIGTERM, syscall.SIGINT),
		Reload:    notify(maxRepeated, syscall.SIGHUP),
		Dump:      notify(maxRepeated, syscall.SIGUSR1),
	}
}

func notify(pending int, signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, pending)
	signal.Notify(c, signals...)
	return c
}
