package config

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/examples"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/record"
)

func publication(t *testing.T, replaces Version, id string) *record.Publication {
	t.Helper()
	m, err := manifest.Parse(examples.ArwyddionManifest)
	if err != nil {
		t.Fatal(err)
	}
	p, err := NewPublication(m, replaces, id, time.Unix(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestPublish(t *testing.T) {
	Convey("Given two publications that replace the same version", t, func() {
		first, second := publication(t, 0, "first"), publication(t, 0, "second")
		var s State
		So(s.Publish(3, first), ShouldEqual, Accepted)

		Convey("the first in the log is accepted and the second is not", func() {
			So(s.Publish(4, second), ShouldEqual, Raced)
			So(s.Version(), ShouldEqual, 3)
			So(s.InForce().PublicationID, ShouldEqual, "first")
		})
		Convey("a second copy of the first one changes nothing", func() {
			So(s.Publish(4, first), ShouldEqual, Raced)
			So(s.Version(), ShouldEqual, 3)
		})
		Convey("an older snapshot changes nothing", func() {
			var newer State
			So(newer.Restore(s.InForce().Snapshot()), ShouldEqual, Accepted)
			So(newer.Publish(7, publication(t, 3, "third")), ShouldEqual, Accepted)
			So(newer.Restore(s.InForce().Snapshot()), ShouldEqual, OlderSnap)
			So(newer.Version(), ShouldEqual, 7)
		})
		Convey("a node that learnt the version from a peer tells the publisher the truth", func() {
			var late State
			So(late.Restore(s.InForce().Snapshot()), ShouldEqual, Accepted)
			So(late.Publish(2, second), ShouldEqual, Overtaken)
			So(late.Publish(3, first), ShouldEqual, Accepted)
			So(late.Publish(4, second), ShouldEqual, Raced)
			So(late.Version(), ShouldEqual, 3)
		})
	})
}
