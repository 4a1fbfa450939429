//go:build review2

// Command cases-2 plays the cases of the second review that are scripts: `cases-2 CASE RECORD`.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is a case. It returns what broke the rule, or nothing if the rule held.
type play func(d *deployment, trouble bool) (broken []string, err error)

var cases = map[string]play{
	"6": largeStep, "7": overdueOccurrences, "8": crashingService, "9": largeRecord, "10": hangingWorkers,
	"images": manyImages, "pending": refusedStarts, "rack-wait": rackWait, // not of the five
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	r := &recorder{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %v", os.Args[1], trouble)
	d, err := newDeployment(r)
	var broken []string
	if err == nil {
		broken, err = cases[os.Args[1]](d, trouble)
	}
	if d != nil {
		d.close(os.Getenv("KEEP_LOGS") != "")
	}
	if err != nil {
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	for _, b := range broken {
		r.line("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
