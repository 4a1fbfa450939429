//go:build review

// Command harness plays the cases of a review: nodes of the system as processes, with stand-ins of the platform's store, its
// workers and the clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// playLimit ends a case that does not end by itself.
	playLimit = 115 * time.Second
)

// cases are the cases by name. Each returns what broke the rule, one line each, or an error if it could not be played.
var cases = map[string]func(d *deployment) ([]string, error){}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER, in the root of the repository")
		return exitNotRun
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(root, folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	time.AfterFunc(playLimit, func() {
		d.note("not over after %v", playLimit)
		d.close()
		os.Exit(exitNotRun)
	})
	broken, err := cases[os.Args[1]](d)
	if err != nil {
		d.note("the case could not be played: %v", err)
		fmt.Println("not played:", err)
		return exitNotRun
	}
	for _, line := range broken {
		d.note("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	d.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
