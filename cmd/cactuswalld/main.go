// Command cactuswalld runs a node of the cactuswall scheduler.
package main

import (
	"os"

	"cactuswall.example/cactuswall/internal/daemoncmd"
)

func main() {
	os.Exit(daemoncmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
