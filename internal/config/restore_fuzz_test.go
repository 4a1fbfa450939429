package config_test

import (
	"testing"
	"time"

	"cactuswall.example/cactuswall/examples"
	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/manifest"
)

// FuzzRestore checks that no snapshot of a peer makes a node panic, and that one which it does not accept
// changes nothing.
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
	first.Publish(3, publication)
	whole, err := first.InForce().EncodeSnapshot(3)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := config.DecodeSnapshot(data)
		if err != nil {
			return
		}
		var s config.State
		accepted := s.Restore(snapshot) == config.Accepted
		if accepted != (s.InForce() != nil) || (accepted && s.Version() == 0) {
			t.Fatalf("accepted %v, in force %v", accepted, s.InForce())
		}
	})
}
