package testseed

import (
	"flag"
	"testing"
)

// MainWithChecks is Main for a package whose random tests are slow: they draw checks cases each unless the
// command line gives a number.
func MainWithChecks(m *testing.M, checks string) {
	if f := flag.Lookup("rapid.checks"); f != nil {
		_ = f.Value.Set(checks)
	}
	Main(m)
}
