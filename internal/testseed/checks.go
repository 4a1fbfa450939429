package testseed

import (
	"flag"
	"os"
	"testing"
)

// MainWithChecks is Main for a package whose randomized tests are slow: each of them runs the given number of
// cases unless the command line sets -rapid.checks.
func MainWithChecks(m *testing.M, checks string) {
	setChecks(checks)
	Main(m)
}

// ParallelMainWithChecks is MainWithChecks for a package without synctest bubbles, whose tests may run on all processors.
func ParallelMainWithChecks(m *testing.M, checks string) {
	setChecks(checks)
	setDefaults()
	os.Exit(m.Run())
}

func setChecks(checks string) {
	if f := flag.Lookup("rapid.checks"); f != nil {
		_ = f.Value.Set(checks)
	}
}
