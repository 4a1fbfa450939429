// Command measure measures how the cost of a node grows with its load and prints the fitted slopes that
// docs/CAPACITY.md reports, as a table or, with -json, as JSON.
//
// It starts nodes as child processes, one after the other, against simulated platform services on loopback.
// A run takes several minutes.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"cactuswall.example/cactuswall/internal/capacity"
)

func main() {
	asJSON := flag.Bool("json", false, "print JSON instead of a table")
	only := flag.String("only", "", "measure only codecs, gossip, node, list, starts or requests")
	child := flag.String("run-node", "", "run a node with this settings file (internal: used for the child processes)")
	flag.Parse()
	if err := run(*child, *only, *asJSON); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(child, only string, asJSON bool) error {
	if child != "" {
		return runNode(child)
	}
	var fits []capacity.LinearFit
	for _, part := range []struct {
		name    string
		measure func() ([]capacity.LinearFit, error)
	}{
		{"codecs", measureCodecs},
		{"gossip", measureGossip},
		{"node", measureNode},
		{"list", measureList},
		{"starts", measureStarts},
		{"requests", measureRequests},
	} {
		if only != "" && only != part.name {
			continue
		}
		fmt.Fprintln(os.Stderr, "measuring", part.name)
		found, err := part.measure()
		if err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
		fits = append(fits, found...)
	}
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(fits)
	}
	return capacity.WriteTable(os.Stdout, fits)
}
