// Package soak runs the daemon as processes against stand-ins of the platform, disturbs them by signals, proxies and a
// store and workers that misbehave, and checks the promises from what callers and workers saw.
package soak

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
)

// NewCommand returns the command line of the soak.
func NewCommand() *cobra.Command {
	options := Options{Progress: os.Stderr}
	var seeds int
	var reports, kinds string
	command := &cobra.Command{
		Use: "soak", Short: "Run nodes as processes, disturb them, and check the promises", SilenceUsage: true, SilenceErrors: true,
		Long: "Run nodes as processes, disturb them, and check the promises.\n\nKinds of faults: " + strings.Join(Kinds(), ", ") + "; only if it is named: " + lossKind + ".",
		Args: exitcode.UsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := options.choose(kinds); err != nil {
				return exitcode.UsageError(err)
			}
			self, err := os.Executable()
			if err != nil {
				return trace.Wrap(err)
			}
			options.Self = []string{self}
			broken := 0
			for range seeds {
				report, err := Run(c.Context(), options)
				if err != nil {
					return trace.Wrap(err, "seed %d", options.Seed)
				}
				if err := report.Write(reports); err != nil {
					return trace.Wrap(err)
				}
				c.Println(report.Summary())
				broken += len(report.Violations)
				options.Seed++
			}
			if broken > 0 {
				return trace.CompareFailed("%d promises broken", broken)
			}
			return nil
		},
	}
	f := command.Flags()
	f.Uint64Var(&options.Seed, "seed", 1, "first seed")
	f.IntVar(&seeds, "seeds", 1, "number of seeds, one after the other")
	f.DurationVar(&options.Duration, "duration", 40*time.Second, "time of the traffic of each seed")
	f.IntVar(&options.Domains, "domains", 3, "failure domains, 40 at most")
	f.IntVar(&options.Nodes, "nodes", 6, "nodes")
	f.IntVar(&options.Workers, "workers", 30, "workers")
	f.IntVar(&options.Capacity, "capacity", 20, "processor capacity that nodes are told, in thousandths of a core; the number of cells follows from it")
	f.Float64Var(&options.JobRate, "rate", 5, "jobs a second")
	f.IntVar(&options.Network, "network", 77, "second number of all addresses, 127.NETWORK.x.y; runs beside each other need different ones")
	f.BoolVar(&options.Evacuations, "evacuations", true, "have the operator evacuate failure domains")
	f.StringVar(&options.Traffic, "traffic", trafficKinds[0].name, "kind of traffic: ordinary, failing (tasks that crash, end at once or are refused), limits (jobs at the limits of jobs and records)")
	f.StringVar(&kinds, "kinds", "", "kinds of faults, separated by commas; all if empty, or none")
	f.StringVar(&options.Daemon, "daemon", "bin/cactuswalld", "path of cactuswalld")
	f.StringVar(&options.KeepLogs, "keep-logs", "", "directory for the logs of all processes")
	f.StringVar(&reports, "report", ".", "directory for the reports")
	command.AddCommand(newStoreCommand(), newWorkersCommand())
	return command
}

// choose checks the options and sets the kinds of faults.
func (o *Options) choose(kinds string) error {
	o.Kinds = Kinds()
	switch kinds {
	case "":
	case "none":
		o.Kinds = nil
	default:
		o.Kinds = strings.Split(kinds, ",")
	}
	if _, err := trafficNamed(o.Traffic); err != nil {
		return err
	}
	for _, kind := range o.Kinds {
		if kind != lossKind && !slices.Contains(Kinds(), kind) {
			return trace.BadParameter("there is no kind of fault %q", kind)
		}
	}
	switch {
	case o.Domains < 1 || o.Domains > maxDomains:
		return trace.BadParameter("there can be 1 to %d failure domains", maxDomains)
	case o.Nodes < o.Domains || o.Workers < o.Domains:
		return trace.BadParameter("each failure domain needs a node and a worker")
	case o.Workers/o.Domains > maxPerDomain || o.Nodes/o.Domains > maxPerDomain:
		return trace.BadParameter("a failure domain can have %d nodes and workers each", maxPerDomain)
	case o.Network < 1 || o.Network > 254:
		return trace.BadParameter("the network must be a number from 1 to 254")
	case o.JobRate <= 0 || o.Duration < quietStart+quietEnd:
		return trace.BadParameter("the rate must be positive and the duration at least %v", quietStart+quietEnd)
	}
	_, err := os.Stat(o.Daemon)
	return trace.ConvertSystemError(err)
}

const (
	// maxDomains and maxPerDomain keep the addresses of failure domains, nodes and workers apart.
	maxDomains   = 40
	maxPerDomain = 250
)

// Summary returns the result in a few lines.
func (r *Report) Summary() string {
	lines := []string{fmt.Sprintf("seed %d: %d broken promises, %d faults, %d jobs accepted, %d refused for good, %d tasks done, %d begins checked, %d take-overs, %d MB used by a node",
		r.Seed, len(r.Violations), r.Counts["faults"], r.Counts["accepted"], r.Counts["refused for good"], r.Counts["done"], r.Counts["begins checked"],
		r.Counts["take-overs"], r.Counts[mostMemory])}
	for _, v := range r.Violations {
		lines = append(lines, fmt.Sprintf("  %v %s: %s", v.At.Round(time.Millisecond), v.Promise, v.Seen))
	}
	return strings.Join(lines, "\n")
}

func uintText(n uint64) string { return strconv.FormatUint(n, 10) }
