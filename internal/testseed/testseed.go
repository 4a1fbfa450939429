// Package testseed makes the random tests of a package give the same verdict on every run.
package testseed

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// seed is the seed of every random test whose command line gives none.
const seed = "1"

// Main runs the tests of a package, on one processor at a time: so the goroutines of a synctest bubble run in
// nearly the same order each time, and the race detector, whose context for the timers of a bubble must not
// be used by two threads at once, does not crash (seen with Go 1.26.8 in runtime.maybeRunChan).
//
// Unless the command line says otherwise, package rapid draws from a fixed seed and leaves no files. Longer
// random runs pass -rapid.seed=0 and -rapid.checks.
func Main(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	set := func(name, value string) {
		if flag.Lookup(name) != nil && !given[name] {
			_ = flag.Set(name, value)
		}
	}
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
