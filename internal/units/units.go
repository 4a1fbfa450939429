// Package units defines the types for durations and resource amounts in settings and manifests.
package units

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration written in JSON as a Go duration string such as "250ms" or "1h30m".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the Go duration string of d.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration must be a string such as \"250ms\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Resources is an amount of processor, memory and accelerator capacity, as offered by a worker or used by a
// task.
type Resources struct {
	// MilliProcessors is the processor capacity in thousandths of a processor.
	MilliProcessors int64 `json:"milli_processors" validate:"min=0,max=1000000000000"`
	// MemoryMiB is the memory in MiB.
	MemoryMiB int64 `json:"memory_mib" validate:"min=0,max=1000000000000"`
	// Accelerators is the number of accelerators.
	Accelerators int64 `json:"accelerators" validate:"min=0,max=1000000000000"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliProcessors: r.MilliProcessors + o.MilliProcessors,
		MemoryMiB:       r.MemoryMiB + o.MemoryMiB,
		Accelerators:    r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliProcessors: r.MilliProcessors - o.MilliProcessors,
		MemoryMiB:       r.MemoryMiB - o.MemoryMiB,
		Accelerators:    r.Accelerators - o.Accelerators,
	}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{
		MilliProcessors: r.MilliProcessors * n,
		MemoryMiB:       r.MemoryMiB * n,
		Accelerators:    r.Accelerators * n,
	}
}

// DividedBy returns r divided by n, rounded down in each dimension.
func (r Resources) DividedBy(n int64) Resources {
	return Resources{
		MilliProcessors: r.MilliProcessors / n,
		MemoryMiB:       r.MemoryMiB / n,
		Accelerators:    r.Accelerators / n,
	}
}

// Fits reports whether r is at most available in every dimension.
func (r Resources) Fits(available Resources) bool {
	return r.MilliProcessors <= available.MilliProcessors &&
		r.MemoryMiB <= available.MemoryMiB &&
		r.Accelerators <= available.Accelerators
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// ParseResources parses what Resources.String returned, which is rounded to three digits.
func ParseResources(text string) (Resources, error) {
	var r Resources
	var processors float64
	if _, err := fmt.Sscanf(text, "%g processors, %d MiB, %d accelerators", &processors, &r.MemoryMiB, &r.Accelerators); err != nil {
		return Resources{}, fmt.Errorf("%q is not an amount of resources: %w", text, err)
	}
	r.MilliProcessors = int64(processors*1000 + 0.5)
	return r, nil
}

// String returns a human-readable form, such as "1.5 processors, 512 MiB, 0 accelerators".
func (r Resources) String() string {
	return fmt.Sprintf("%.3g processors, %d MiB, %d accelerators",
		float64(r.MilliProcessors)/1000, r.MemoryMiB, r.Accelerators)
}
