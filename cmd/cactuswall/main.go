// Command cactuswall is the command-line client with which operators control the cactuswall scheduler.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cactuswall.example/cactuswall/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
