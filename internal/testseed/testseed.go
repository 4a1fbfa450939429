// Package testseed makes the random tests of a package give the same verdict on every run.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// seed is the seed of every random test whose command line gives none.
const seed = "1"

// Main runs the tests of a package. Unless the command line says otherwise, package rapid draws from a
// fixed seed and leaves no files. Longer random runs pass -rapid.seed=0 and -rapid.checks.
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
	os.Exit(m.Run())
}
