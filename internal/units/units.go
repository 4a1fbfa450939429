// Package units holds quantities that settings and manifests share.
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
		return fmt.Errorf("a duration is a string such as \"250ms\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Resources is an amount of what a worker offers and a task takes.
type Resources struct {
	// MilliProcessors counts thousandths of a processor.
	MilliProcessors int64 `json:"milli_processors" validate:"min=0,max=1000000000000"`
	// MemoryMiB counts mebibytes of memory.
	MemoryMiB int64 `json:"memory_mib" validate:"min=0,max=1000000000000"`
	// Accelerators counts whole accelerators.
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

// Sub returns r less o.
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

// Fits reports whether r is no larger than room in any dimension.
func (r Resources) Fits(room Resources) bool {
	return r.MilliProcessors <= room.MilliProcessors &&
		r.MemoryMiB <= room.MemoryMiB &&
		r.Accelerators <= room.Accelerators
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// String returns a short form for operators.
func (r Resources) String() string {
	return fmt.Sprintf("%.3g processors, %d MiB, %d accelerators",
		float64(r.MilliProcessors)/1000, r.MemoryMiB, r.Accelerators)
}
