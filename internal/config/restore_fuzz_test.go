package config_test

import (
	"testing"
	"time"

	"cactuswall.example/cactuswall/examples"
	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/manifest"
)

// FuzzRestore checks that ApplySnapshot does not panic on any snapshot from a peer, and that a snapshot
// that it rejects changes nothing.
func FuzzRestore(f *testing.F) {
	m, err := manifest.Parse(examples.ArwyddionManifest)
	if err != nil {
		f.Fatal(err)
	}
	publication, err := config.NewPublication(m, nil, 0, "id", time.Unix(0, 0))
	if err != nil {
		f.Fatal(err)
	}
	var first config.State
	first.ApplyPublication(3, publication)
	encoded, err := first.Active().EncodeSnapshot(3)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := config.DecodeSnapshot(data)
		if err != nil {
			return
		}
		var s config.State
		accepted := s.ApplySnapshot(snapshot) == config.Accepted
		if accepted != (s.Active() != nil) || (accepted && s.Version() == 0) {
			t.Fatalf("accepted %v, active %v", accepted, s.Active())
		}
	})
}
