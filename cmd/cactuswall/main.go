// Command cactuswall is the operators' client of the cactuswall scheduler.
package main

import (
	"os"

	"cactuswall.example/cactuswall/internal/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
