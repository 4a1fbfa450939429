package testseed

import (
	"flag"
	"testing"
)

// MainWithChecks is Main for a package whose randomized tests are slow: each of them runs the given number of
// cases unless the command line sets -rapid.checks.
func MainWithChecks(m *testing.M, checks string) {
	if f := flag.Lookup("rapid.checks"); f != nil {
		_ = f.Value.Set(checks)
	}
	Main(m)
}
