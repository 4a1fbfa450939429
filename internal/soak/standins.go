package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/platform/standin"
)

// service is the service whose workers run all jobs.
const service = "batch"

// workerSpec describes a worker to the process that runs it. Nodes reach it at Address, which is that of a proxy.
type workerSpec struct {
	ID            string  `json:"id"`
	Listen        string  `json:"listen"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"domain"`
	Rack          string  `json:"rack"`
	ClockRate     float64 `json:"clock_rate"`
}

// workersSpec describes the workers of a process.
type workersSpec struct {
	Store    string        `json:"store"`
	Listen   string        `json:"listen"` // for orders of the soak
	Workers  []workerSpec  `json:"workers"`
	Capacity standin.Work  `json:"capacity"`
	MaxLease time.Duration `json:"max_lease"`
}

func newStoreCommand() *cobra.Command {
	var listen string
	var seed uint64
	var limits standin.StoreLimits
	command := &cobra.Command{Use: "store", Short: "Run the stand-in of the store", Hidden: true, RunE: func(*cobra.Command, []string) error {
		s := standin.NewStore(standin.KeepHistory, standin.WorkerExpiry, seed)
		s.Limits = limits
		go s.Expire()
		return trace.Wrap(serve(listen, s, nil))
	}}
	command.Flags().StringVar(&listen, "listen", "", "address")
	command.Flags().Uint64Var(&seed, "seed", 0, "seed of lost answers")
	command.Flags().IntVar(&limits.RecordBytes, "record-bytes", 0, "largest record; 0 for the usual one")
	command.Flags().IntVar(&limits.CallBytes, "call-bytes", 0, "records of an append; 0 for the usual limit")
	return command
}

func newWorkersCommand() *cobra.Command {
	return &cobra.Command{Use: "workers SPEC", Short: "Run stand-ins of workers", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			var spec workersSpec
			if err := json.Unmarshal([]byte(arguments[0]), &spec); err != nil {
				return trace.Wrap(err)
			}
			return runWorkers(&spec)
		}}
}

// runWorkers runs workers until the process is killed. Each event is written to stdout before the worker answers, so that the
// soak knows it even if the process is killed.
func runWorkers(spec *workersSpec) error {
	var mu sync.Mutex
	record := func(e standin.Event) {
		line, _ := json.Marshal(e) // cannot fail for this type
		mu.Lock()
		defer mu.Unlock()
		_, _ = os.Stdout.Write(append(line, '\n')) // the soak has ended if this fails
	}
	workers := make(map[string]*standin.Worker)
	failed := make(chan error, len(spec.Workers)+1)
	for _, s := range spec.Workers {
		w := &standin.Worker{ID: s.ID, Address: s.Address, FailureDomain: s.FailureDomain, Rack: s.Rack, Capacity: spec.Capacity,
			ClockRate: s.ClockRate, MaxLease: spec.MaxLease, Record: record}
		w.Boot()
		workers[s.ID] = w
		go w.Run()
		go writeEntries(w, spec.Store)
		go func() { failed <- serve(s.Listen, w, w.ConnContext) }()
	}
	go func() {
		failed <- serve(spec.Listen, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			var f standin.WorkerFault
			if err := json.NewDecoder(r.Body).Decode(&f); err != nil || workers[f.Worker] == nil {
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
			workers[f.Worker].Apply(f)
		}), nil)
	}()
	return trace.Wrap(<-failed)
}

// writeEntries writes the worker's entry at each heartbeat until the process ends.
func writeEntries(w *standin.Worker, storeAddress string) {
	writer := standin.StoreWriter{Address: storeAddress, Client: http.Client{Timeout: standin.Heartbeat}}
	time.Sleep(time.Duration(rand.Int64N(int64(standin.Heartbeat / 4))))
	for seq := int64(1); ; seq++ {
		if entry := w.Entry(service, seq); entry != nil {
			if err := writer.WriteEntry(w.ID, entry); err != nil {
				fmt.Fprintln(os.Stderr, "entry not written:", err)
			}
		}
		time.Sleep(standin.Heartbeat)
	}
}

// serve serves HTTP at an address until the process ends. connContext is as in http.Server and may be nil.
func serve(address string, handler http.Handler, connContext func(context.Context, net.Conn) context.Context) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap((&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: connContext}).Serve(listener))
}
