package node

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// newTestEngine returns the engine of a node that is not running. Tests call its methods directly.
func newTestEngine(t *testing.T, name string) *engine {
	s := settings.Default()
	s.Node = name
	s.FailureDomain = "north"
	s.PeerAddress = name
	return newEngine(t.Context(), Options{
		Settings:    s,
		Log:         fake.NewLog(),
		List:        fake.NewVMList(0),
		Logger:      zap.NewNop(),
		Incarnation: 1,
	}, metrics.NewSet())
}

// entry returns a delivery with a batch of one record.
func entry(offset platform.Offset, node string, sequence uint64, r *record.Record) journal.Delivery {
	batch := &record.Batch{Node: node, Incarnation: 1, Sequence: sequence, Records: []*record.Record{r}}
	return journal.Delivery{Offset: offset, Batch: batch}
}

func claimRecord(shard uint32, replaces platform.Offset) *record.Record {
	body := &record.Claim{Shard: shard, Replaces: uint64(replaces), LeaseMs: 6000}
	return &record.Record{Body: &record.Record_Claim{Claim: body}}
}

func snapshotRecord(t *testing.T, e *engine) *record.Record {
	state, err := e.ledger.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	body := &record.DomainSnapshot{At: uint64(e.domainReplay.Applied()), State: state}
	return &record.Record{Body: &record.Record_DomainSnapshot{DomainSnapshot: body}}
}

func TestTrimmedDomainStream(t *testing.T) {
	Convey("Given a domain stream whose first entries were removed by retention", t, func() {
		now := time.Now()
		old, fresh := newTestEngine(t, "a"), newTestEngine(t, "b")
		old.handleDomainEntries([]journal.Delivery{entry(1, "a", 1, claimRecord(3, 0)), entry(2, "a", 2, claimRecord(4, 0))}, now)
		snapshot := snapshotRecord(t, old)
		gap := journal.Delivery{Offset: 2, Gap: true}
		third := entry(3, "a", 3, claimRecord(5, 0))

		Convey("a new node writes nothing before it has a snapshot", func() {
			fresh.handleDomainEntries([]journal.Delivery{gap, third}, now)
			fresh.handleDomainEntries(nil, now)
			So(fresh.caughtUp, ShouldBeTrue)
			So(fresh.domainStateComplete(), ShouldBeFalse)
			fresh.updateClaims(now.Add(time.Hour))
			So(fresh.domainWriter.UnappendedCount(), ShouldEqual, 0)

			Convey("and has the complete state once a snapshot covers the removed entries", func() {
				fresh.handleDomainEntries([]journal.Delivery{entry(4, "a", 4, snapshot)}, now)
				So(fresh.domainStateComplete(), ShouldBeTrue)
				So(fresh.ledger.Claim(3).Token, ShouldEqual, 1)
				So(fresh.ledger.Claim(5).Token, ShouldEqual, 3)
			})
		})
		Convey("a snapshot that leaves a gap is not applied", func() {
			fresh.handleDomainEntries([]journal.Delivery{{Offset: 3, Gap: true}, entry(4, "a", 4, snapshot)}, now)
			So(fresh.domainStateComplete(), ShouldBeFalse)
		})
	})
}

func TestNewerSchemaSuspendsClaims(t *testing.T) {
	Convey("Given a node that holds a shard", t, func() {
		now := time.Now()
		e := newTestEngine(t, "a")
		e.handleDomainEntries(nil, now)
		l := e.ledger
		results := l.Apply(1, entry(1, "a", 1, claimRecord(3, 0)).Batch, now)
		e.owner.Observe(l, results, now, true)
		_, held := e.owner.Authority(3, now)
		So(held, ShouldBeTrue)

		Convey("it stops acting under its claims when it reads a batch of a newer schema", func() {
			e.handleDomainEntries([]journal.Delivery{{Offset: 2, NewerSchema: true}}, now)
			_, held := e.owner.Authority(3, now)
			So(held, ShouldBeFalse)
			So(e.domainStateComplete(), ShouldBeFalse)
		})
	})
}

func testManifest(release string) *manifest.Manifest {
	return &manifest.Manifest{
		Release:        release,
		FailureDomains: []manifest.FailureDomain{{Name: "north", Region: "r"}},
		Teams:          []manifest.Team{{Name: "team", Quota: units.Resources{MilliProcessors: 1}}},
	}
}

func publicationRecord(t *testing.T, release string, replaces config.Version) *record.Record {
	p, err := config.NewPublication(testManifest(release), nil, replaces, release, time.UnixMilli(1))
	if err != nil {
		t.Fatal(err)
	}
	return &record.Record{Body: &record.Record_Publication{Publication: p}}
}

func TestTrimmedManifestStream(t *testing.T) {
	Convey("Given a node that has read version 1 and then misses entries", t, func() {
		now := time.Now()
		e, other := newTestEngine(t, "a"), newTestEngine(t, "b")
		first := entry(1, "a", 1, publicationRecord(t, "one", 0))
		e.handleManifestEntries([]journal.Delivery{first}, now)
		other.handleManifestEntries([]journal.Delivery{first, entry(2, "a", 2, publicationRecord(t, "two", 1))}, now)
		late := entry(4, "a", 4, publicationRecord(t, "late", 1))
		e.handleManifestEntries([]journal.Delivery{{Offset: 3, Gap: true}, late}, now)

		Convey("it does not accept a publication that an entry in the gap may have superseded", func() {
			So(e.config.Version(), ShouldEqual, 1)
		})
		Convey("a snapshot of the newest version completes the state", func() {
			e.restoreManifest(other.config.Active().Snapshot(3), now)
			So(e.manifestReplay.Complete(), ShouldBeTrue)
			So(e.config.Version(), ShouldEqual, 2)
		})
	})
}

func TestIntermediateManifestVersionsAreNotApplied(t *testing.T) {
	Convey("Given a new node that reads a long manifest stream in pages", t, func() {
		now := time.Now()
		e := newTestEngine(t, "a")
		first := entry(1, "b", 1, publicationRecord(t, "first", 0))
		second := entry(2, "b", 2, publicationRecord(t, "second", 1))

		Convey("only the newest version is put in force, once the end of the stream is reached", func() {
			e.handleManifestEntries([]journal.Delivery{first}, now)
			So(e.activeManifest, ShouldBeNil)
			e.handleManifestEntries([]journal.Delivery{second}, now)
			So(e.activeManifest, ShouldBeNil)
			e.handleManifestEntries(nil, now)
			So(e.activeManifest.Manifest.Release, ShouldEqual, "second")
		})
	})
}

func TestNewWorkerAtReusedAddress(t *testing.T) {
	Convey("Given a new VM at the address of a worker that is gone", t, func() {
		e := newTestEngine(t, "a")
		size := units.Resources{MilliProcessors: 1000, MemoryMiB: 1000}
		e.workers = directWorkers{"address": fake.NewWorker(fake.WorkerOptions{ID: "new", Capacity: size})}
		now := time.Now()
		e.handleDomainEntries([]journal.Delivery{entry(1, "a", 1, claimRecord(failuredomain.ShardOf("old"), 0))}, now)
		old := &worker.Worker{ID: "old", Address: "address", Shard: failuredomain.ShardOf("old")}
		e.workerTable.Put(old)

		Convey("the old worker is not adopted when the new VM answers", func() {
			old.FenceInFlight = true
			e.fence(old, 1)
			event := <-e.events
			event(now)
			So(old.Token, ShouldEqual, 0)
			So(old.NextCallAt.After(now), ShouldBeTrue)
		})
	})
}
