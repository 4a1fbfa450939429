package config

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/testseed"
	"cactuswall.example/cactuswall/internal/units"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// testManifest returns a valid manifest with one job per number.
func testManifest(release string, numbers ...int) *manifest.Manifest {
	size := units.Resources{MilliProcessors: 1000, MemoryMiB: 512}
	m := &manifest.Manifest{
		Release:        release,
		FailureDomains: []manifest.FailureDomain{{Name: "north", Region: "r"}, {Name: "south", Region: "r"}},
		Teams:          []manifest.Team{{Name: "team", Quota: size}},
	}
	for _, n := range numbers {
		m.Jobs = append(m.Jobs, manifest.Job{
			Name:         fmt.Sprintf("job-%d", n),
			Team:         "team",
			Tasks:        1,
			Size:         size,
			RunTime:      units.Duration(time.Minute),
			Deadline:     units.Duration(time.Hour),
			Priority:     manifest.Batch,
			OnDomainLoss: manifest.WaitHome,
		})
	}
	return m
}

func newTestPublication(t testing.TB, m *manifest.Manifest, active *ActiveManifest, replaces Version) *record.Publication {
	p, err := NewPublication(m, active, replaces, m.Release, time.UnixMilli(1))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestPublicationsInOneBatch(t *testing.T) {
	Convey("Given two publications in one batch that replace the same version", t, func() {
		first, second := newTestPublication(t, testManifest("a", 1), nil, 0), newTestPublication(t, testManifest("b", 2), nil, 0)
		var s State
		So(s.ApplyPublication(3, first), ShouldEqual, Accepted)
		Convey("the second is not accepted", func() {
			So(s.ApplyPublication(3, second), ShouldEqual, VersionConflict)
			So(s.Active().Manifest.Release, ShouldEqual, "a")
		})
	})
}

func TestPeerAheadOfLog(t *testing.T) {
	Convey("Given a node that learned version 7 from a peer before it read it from the log", t, func() {
		var peer, s State
		first, second := newTestPublication(t, testManifest("a", 1), nil, 0), newTestPublication(t, testManifest("b", 2), nil, 3)
		So(peer.ApplyPublication(3, first), ShouldEqual, Accepted)
		So(peer.ApplyPublication(7, second), ShouldEqual, Accepted)
		So(s.ApplySnapshot(peer.Active().Snapshot(7)), ShouldEqual, Accepted)

		Convey("older log entries change nothing", func() {
			So(s.ApplyPublication(3, first), ShouldEqual, Superseded)
			So(s.ApplyPublication(5, newTestPublication(t, testManifest("x"), nil, 3)), ShouldEqual, Superseded)
			So(s.ApplyPublication(7, second), ShouldEqual, Accepted)
			So(s.Active().Manifest.Release, ShouldEqual, "b")
		})
		Convey("an older snapshot, from the log or from a peer, changes nothing", func() {
			var old State
			So(old.ApplyPublication(3, first), ShouldEqual, Accepted)
			So(s.ApplySnapshot(old.Active().Snapshot(9)), ShouldEqual, SnapshotNotNewer)
			So(s.Version(), ShouldEqual, 7)
		})
		Convey("the next publication is accepted only if it replaces version 7", func() {
			So(s.ApplyPublication(8, newTestPublication(t, testManifest("c"), nil, 3)), ShouldEqual, VersionConflict)
			So(s.ApplyPublication(9, newTestPublication(t, testManifest("c"), s.Active(), 7)), ShouldEqual, Accepted)
		})
	})
}

// TestRacingPublications applies random concurrent publications on several nodes that restore each other's
// snapshots at random times. It checks that all nodes end with the same manifest and that no node's version
// ever decreases.
func TestRacingPublications(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*State{{}, {}, {}}
		readTo := make([]int, len(nodes))
		var log []*record.Publication
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			n := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			s, before := nodes[n], nodes[n].Version()
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				jobs := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID[int]).Draw(t, "jobs")
				m := testManifest(fmt.Sprintf("r%d", step), jobs...)
				p, err := NewPublication(m, s.Active(), s.Version(), m.Release, time.UnixMilli(int64(step)))
				if err != nil {
					t.Fatal(err)
				}
				log = append(log, p)
			case 1, 2:
				for readTo[n] < len(log) {
					s.ApplyPublication(platform.Offset(readTo[n]+1), log[readTo[n]])
					readTo[n]++
				}
			case 3:
				other := rapid.IntRange(0, len(nodes)-1).Draw(t, "other")
				if active := nodes[other].Active(); active != nil {
					s.ApplySnapshot(active.Snapshot(platform.Offset(readTo[other])))
				}
			}
			if s.Version() < before {
				t.Fatalf("version decreased from %d to %d", before, s.Version())
			}
		}
		checkAgreement(t, nodes, readTo, log)
	})
}

// checkAgreement lets all nodes read the rest of the log and checks that the snapshots of their active manifests
// are equal. An empty list of jobs or services counts as equal to nil.
func checkAgreement(t *rapid.T, nodes []*State, readTo []int, stream []*record.Publication) {
	var want *record.ManifestSnapshot
	for n, s := range nodes {
		for ; readTo[n] < len(stream); readTo[n]++ {
			s.ApplyPublication(platform.Offset(readTo[n]+1), stream[readTo[n]])
		}
		if s.Active() == nil {
			continue
		}
		got := s.Active().Snapshot(platform.Offset(len(stream)))
		normalized := *s.Active().Manifest
		if len(normalized.Jobs) == 0 {
			normalized.Jobs = nil
		}
		if len(normalized.Services) == 0 {
			normalized.Services = nil
		}
		got.Document, _ = normalized.Encode()
		if want != nil && !proto.Equal(want, got) {
			t.Fatalf("nodes disagree: version %d and %d", want.GetVersion(), got.GetVersion())
		}
		want = got
	}
}

// BenchmarkPublication measures a publication that adds six jobs to a manifest with 7900 jobs and removes six.
func BenchmarkPublication(b *testing.B) {
	jobs := make([]int, 7900)
	for i := range jobs {
		jobs[i] = i
	}
	base := testManifest("base", jobs...)
	varyJobs(base)
	var s State
	if r := s.ApplyPublication(1, newTestPublication(b, base, nil, 0)); r != Accepted {
		b.Fatal(r)
	}
	next := testManifest("next", append(jobs[6:], 7900, 7901, 7902, 7903, 7904, 7905)...)
	varyJobs(next)
	copy(next.Jobs, base.Jobs[6:])
	asDocument, asChanges := newTestPublication(b, next, nil, 1), newTestPublication(b, next, s.Active(), 1)
	b.Run("whole", func(b *testing.B) { applyPublication(b, s, asDocument) })
	b.Run("changes", func(b *testing.B) { applyPublication(b, s, asChanges) })
}

// varyJobs gives each job a random size, run time and deadline, and a longer name.
func varyJobs(m *manifest.Manifest) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range m.Jobs {
		j := &m.Jobs[i]
		j.Name = fmt.Sprintf("%s-%08x", j.Name, random.Uint32())
		j.Size.MilliProcessors = 100 * random.Int64N(200)
		j.Size.MemoryMiB = 64 * (1 + random.Int64N(500))
		j.RunTime = units.Duration(time.Duration(1+random.IntN(7200)) * time.Second)
		j.Deadline = j.RunTime + units.Duration(time.Duration(random.IntN(86400))*time.Second)
	}
}

func applyPublication(b *testing.B, base State, p *record.Publication) {
	for b.Loop() {
		s := base
		if r := s.ApplyPublication(2, p); r != Accepted {
			b.Fatal(r)
		}
	}
	b.ReportMetric(float64(proto.Size(p)), "bytes")
}

// Guards against new jobs whose home is an evacuated failure domain, and against known jobs that get another home with it.
func TestHomeOfJobsWhileDomainIsEvacuated(t *testing.T) {
	Convey("Given jobs whose homes are in two failure domains", t, func() {
		var s State
		So(s.ApplyPublication(1, newTestPublication(t, testManifest("a", 1, 2, 3, 4), nil, 0)), ShouldEqual, Accepted)
		before := s.Active().Origins
		Convey("new jobs get homes outside the evacuated one, and known jobs keep theirs", func() {
			evacuated := testManifest("b", 1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
			evacuated.SetEvacuated("north", true)
			So(s.ApplyPublication(2, newTestPublication(t, evacuated, s.Active(), 1)), ShouldEqual, Accepted)
			So(s.Active().Manifest.EvacuatedDomains(), ShouldResemble, []string{"north"})
			for name, origin := range s.Active().Origins {
				if known, ok := before[name]; ok {
					So(origin, ShouldResemble, known)
				} else {
					So(origin.Home, ShouldEqual, "south")
				}
			}
		})
		Convey("new jobs get any home if all are evacuated", func() {
			all := testManifest("b", 5, 6, 7, 8, 9, 10)
			all.SetEvacuated("north", true)
			all.SetEvacuated("south", true)
			So(s.ApplyPublication(2, newTestPublication(t, all, s.Active(), 1)), ShouldEqual, Accepted)
			for _, origin := range s.Active().Origins {
				So(origin.Home, ShouldBeIn, "north", "south")
			}
		})
	})
}
