// Command jacinthrack is the operator command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jacinthrack/jacinthrack/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
