// Command harness-2 plays the cases of the second review against processes of the gateway, with
// stand-ins of the platform's store, of servers and of clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// cases are the cases by name. Each returns whether the rule was broken. The files of the cases add
// them.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER")
		return exitFailed
	}
	r := newRecord()
	killOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	status := exitHeld
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		status = exitFailed
	case broken:
		r.say("the rule was broken")
		status = exitBroken
	default:
		r.say("the rule was kept")
	}
	if err := r.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return status
}

// killOnSignal ends the gateways, and then this process, when it is asked to stop.
func killOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		killAll()
		os.Exit(exitFailed)
	}()
}
