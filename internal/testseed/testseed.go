// Package testseed makes the randomized tests of a package reproducible: it fixes the seed of package rapid and
// runs the tests on one processor.
package testseed

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// seed is the seed of package rapid unless the command line sets -rapid.seed.
const seed = "1"

// Main runs the tests of a package with GOMAXPROCS set to 1, so that the goroutines of a synctest bubble run in
// nearly the same order each time. One processor also avoids a crash of the race detector in runtime.maybeRunChan,
// seen with Go 1.26.8, which occurs when two threads run timers of the same bubble at once.
//
// Unless the command line sets the flags, package rapid uses a fixed seed and writes no failure files. For longer
// random runs pass -rapid.seed=0 and -rapid.checks.
func Main(m *testing.M) {
	setDefaults()
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// setDefaults sets the flags of package rapid that the command line does not set.
func setDefaults() {
	flag.Parse()
	explicit := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	setDefault := func(name, value string) {
		if flag.Lookup(name) != nil && !explicit[name] {
			_ = flag.Set(name, value)
		}
	}
	setDefault("rapid.seed", seed)
	setDefault("rapid.nofailfile", "true")
}
