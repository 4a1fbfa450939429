package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"
)

// standInVariable makes the test binary run a stand-in instead of the tests.
const standInVariable = "CACTUSWALL_SOAK_STAND_IN"

func TestMain(m *testing.M) {
	if os.Getenv(standInVariable) != "" {
		if err := NewCommand().Execute(); err != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

const (
	ciSeed     = 3
	ciDuration = 25 * time.Second
	// ciTrafficDuration is that of the runs without faults.
	ciTrafficDuration = 10 * time.Second
	// testNetwork differs from the default of the command, so that a test and a soak by hand do not meet.
	testNetwork = 78
)

// Short runs of the real program in two cells and more, with fixed seeds: all kinds of faults, and the unusual kinds of traffic without any.
func TestSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "cactuswalld")
	if output, err := exec.Command("go", "build", "-o", daemon, "cactuswall.example/cactuswall/cmd/cactuswalld").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	t.Setenv(standInVariable, "1")
	for _, test := range []struct {
		traffic  string
		duration time.Duration
		kinds    []string
		shown    []string // counts that must not be 0
	}{
		{"ordinary", ciDuration, Kinds(), []string{"evacuations", "done", "faults"}},
		{"failing", ciTrafficDuration, nil, []string{"done", "failed", "begins checked"}},
		{"limits", ciTrafficDuration, nil, []string{"done", "refused for good", "begins checked"}},
	} {
		t.Run(test.traffic, func(t *testing.T) {
			directory := t.TempDir()
			report, err := Run(context.Background(), Options{
				Seed: ciSeed, Duration: test.duration, Domains: 3, Nodes: 6, Workers: 18, Capacity: 12, JobRate: 3, Traffic: test.traffic, Kinds: test.kinds,
				Evacuations: len(test.kinds) > 0, Daemon: daemon, Self: []string{os.Args[0]}, KeepLogs: directory, Network: testNetwork, Progress: testWriter{t},
			})
			if err != nil {
				t.Fatal(err)
			}
			if err := report.Write(directory); err != nil {
				t.Fatal(err)
			}
			t.Log(report.Summary())
			if len(report.Violations) > 0 {
				t.Fail()
			}
			for _, count := range test.shown {
				if report.Counts[count] == 0 || report.Counts["take-overs"] < 2 {
					t.Errorf("the run showed nothing: %v", report.Counts)
				}
			}
		})
	}
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", p)
	return len(p), nil
}

// Guards against a seed that plays different faults, also if losses of workers are added, and against faults at times that are to be quiet.
func TestSchedule(t *testing.T) {
	a, b := NewSchedule(1, time.Minute, Kinds()), NewSchedule(1, time.Minute, Kinds())
	if !reflect.DeepEqual(a, b) || len(a) == 0 {
		t.Error("a seed has two schedules, or none")
	}
	if reflect.DeepEqual(a, NewSchedule(2, time.Minute, Kinds())) {
		t.Error("two seeds have the same schedule")
	}
	if faults := NewSchedule(1, time.Minute, nil); len(faults) != 0 {
		t.Errorf("%d faults of no kind", len(faults))
	}
	withLosses := NewSchedule(1, time.Minute, append(Kinds(), lossKind))
	if others := slices.DeleteFunc(slices.Clone(withLosses), func(f Fault) bool { return f.Kind == lossKind }); !reflect.DeepEqual(a, others) || len(withLosses) != len(a)+2 {
		t.Errorf("%d faults with losses, %d without", len(withLosses), len(a))
	}
	for i, f := range a {
		if f.At < quietStart || f.At > time.Minute-quietEnd || f.Duration <= 0 || f.Duration > maxFaultDuration || i > 0 && f.At < a[i-1].At {
			t.Errorf("%+v", f)
		}
	}
}

func TestOptions(t *testing.T) {
	valid := func() Options {
		return Options{Domains: 3, Nodes: 6, Workers: 30, JobRate: 1, Duration: time.Minute, Network: 1, Daemon: os.Args[0], Traffic: "limits"}
	}
	for name, change := range map[string]func(*Options){
		"domains": func(o *Options) { o.Domains = 0 }, "nodes": func(o *Options) { o.Nodes = 2 }, "workers": func(o *Options) { o.Workers = 1000 },
		"rate": func(o *Options) { o.JobRate = 0 }, "duration": func(o *Options) { o.Duration = time.Second }, "network": func(o *Options) { o.Network = 0 },
		"daemon": func(o *Options) { o.Daemon = "/nonexistent" }, "traffic": func(o *Options) { o.Traffic = "none" },
	} {
		o := valid()
		change(&o)
		if o.choose("") == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	o := valid()
	if o.choose("no such fault") == nil {
		t.Error("an unknown kind of fault was accepted")
	}
	if err := o.choose("kill node,store down"); err != nil || len(o.Kinds) != 2 {
		t.Errorf("%v, %v", o.Kinds, err)
	}
}
