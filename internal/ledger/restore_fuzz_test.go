package ledger_test

import (
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/ledger"
)

// FuzzRestore checks that Restore does not panic on any input and that an accepted snapshot can be encoded
// again.
func FuzzRestore(f *testing.F) {
	empty, err := ledger.New().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(empty)
	f.Add([]byte{})
	f.Add(empty[:len(empty)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := ledger.Restore(data, time.Unix(0, 0))
		if err != nil {
			return
		}
		if _, err := l.Snapshot(); err != nil {
			t.Fatalf("cannot encode the restored ledger: %v", err)
		}
	})
}
