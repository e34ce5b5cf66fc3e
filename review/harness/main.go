// Command harness plays the cases of the review that cannot be written as a day of the bench.
//
// "harness play CASE FOLDER" starts entry instances and backend servers as processes, plays a
// case and writes record.txt into the folder. It exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the
// disruption. "harness server" is a backend server.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// cases are the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"endless":  playEndless,
	"upload":   playUpload,
	"breakoff": playBreakOff,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitCannot)
		}
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "play" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness play CASE FOLDER")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[2], os.Args[3]))
}

func play(name, folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](w, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			w.record.printf("the case could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return exitCannot
		case r.broken:
			return exitBroken
		}
		return exitHeld
	case <-interrupted:
	case <-time.After(maxDuration):
		w.record.printf("the case took too long")
	}
	return exitCannot
}
