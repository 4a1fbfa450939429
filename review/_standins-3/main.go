package main

import (
	"fmt"
	"os"
	"time"
)

// A case returns whether its rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"memory":   memoryCase,
	"gangs":    gangsCase,
	"may-miss": mayMissCase,
	"labels":   labelsCase,
	"images":   imagesCase,
	"suspect":  suspectCase,
	"cancels":  cancelCase,
	"large":    largeCase,
	"poison":   poisonCase,
}

// The results of a run, as exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is how long a case may run.
const longest = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) < 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE REPOSITORY RECORD")
		return exitNotRun
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := newDeployment(rec, os.Args[2], 9)
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer d.stop(os.Getenv("KEEP_LOGS") == "1")
	time.AfterFunc(longest, func() {
		rec.say("not run: the case takes too long")
		d.stop(false)
		rec.close()
		os.Exit(exitNotRun)
	})
	broken, err := cases[os.Args[1]](d, trouble)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
