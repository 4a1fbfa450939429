package compat

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/joblog"
	"cactuswall.example/cactuswall/internal/settings"
)

// The samples were written at commit 2642b43, into which this package had been copied, with
//
//	go test ./internal/compat -args -write-samples "$PWD/internal/compat/testdata"
//
// Samples of records that were added later, as occurrences.msgpack, were written in the same way at the commit that added them.
// trace.log holds the log lines that the same build wrote about one job in a test run of one day, and settings.jsonc
// the example settings of that build.
var writeSamples = flag.String("write-samples", "", "write the samples of this build into a folder")

func TestMain(m *testing.M) {
	flag.Parse()
	if *writeSamples == "" {
		os.Exit(m.Run())
	}
	for _, s := range samples {
		data, err := s.write()
		if err == nil {
			err = os.WriteFile(filepath.Join(*writeSamples, s.file), data, 0o600)
		}
		if err != nil {
			panic(s.file + ": " + err.Error())
		}
	}
}

func read(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestSamplesOfAnEarlierBuild(t *testing.T) {
	for _, s := range samples {
		Convey("This build writes "+s.file+" as the earlier build did, and reads it without a loss", t, func() {
			earlier := read(t, s.file)
			written, err := s.write()
			So(err, ShouldBeNil)
			So(written, ShouldResemble, earlier)
			again, err := s.rewrite(earlier)
			So(err, ShouldBeNil)
			So(again, ShouldResemble, earlier)
		})
	}
}

func TestManifestSnapshotOfAnEarlierBuild(t *testing.T) {
	Convey("A manifest snapshot of the earlier build comes into force", t, func() {
		snapshot, err := config.DecodeSnapshot(read(t, "manifest-snapshot.pb"))
		So(err, ShouldBeNil)
		var state config.State
		So(state.ApplySnapshot(snapshot), ShouldEqual, config.Accepted)
		So(state.Version(), ShouldEqual, 3)
		So(state.Active().PublicationID, ShouldEqual, "p-1")
	})
}

func TestSettingsOfAnEarlierBuild(t *testing.T) {
	Convey("The settings of the earlier build are valid", t, func() {
		s, err := settings.Parse(read(t, "settings.jsonc"))
		So(err, ShouldBeNil)
		So(s.Node, ShouldEqual, "gogledd-1")
	})
}

// The job in trace.log: one run of the job failed, and the owner of the cell changed before the job ended.
const (
	tracedJob    = "04b928838709703c"
	tracedEvents = 28
	tracedCause  = "The job completed: failed runs: 1; changes of owner: 1."
)

func TestLogOfAnEarlierBuild(t *testing.T) {
	Convey("The log of the earlier build gives the timeline of a job and its cause", t, func() {
		timeline, err := joblog.Read(tracedJob, strings.NewReader(string(read(t, "trace.log"))))
		So(err, ShouldBeNil)
		So(timeline.Events, ShouldHaveLength, tracedEvents)
		So(timeline.Summary, ShouldEqual, tracedCause)
	})
}
