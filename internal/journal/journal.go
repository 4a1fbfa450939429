// Package journal reads and writes streams of the platform's log. A Writer appends records in batches from a
// bounded queue, backs off during outages, and recognizes a batch whose reply was lost by its sequence number
// when it is read back. A Follower delivers the entries of a stream in order, and a Replay determines which of
// them may be applied to the state.
package journal

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// ManifestStream is the stream of manifest publications. All nodes read it.
const ManifestStream = "manifest"

// DomainStream returns the stream of a failure domain.
func DomainStream(domain string) string { return "domain-" + domain }

// Metrics holds the counters for reads and writes of one stream.
//
// ConfirmedByReading counts the batches that were found in the log after their append had failed, Repeated the
// appends that were tried again, and Unencodable the records of batches that could not be encoded. QueueFull
// counts the records of the calls of Enqueue that were rejected, by the class of the first record for which the
// queue was too long. HeldEntriesDropped counts the entries that a Replay dropped because it held too many, Gaps
// the gaps left by the log's retention, and Unreadable the entries that could not be decoded.
type Metrics struct {
	Appends            *metrics.Counter
	BytesAppended      *metrics.Counter
	AppendFailures     *metrics.Counter
	ConfirmedByReading *metrics.Counter
	Repeated           *metrics.Counter
	QueueFull          map[Class]*metrics.Counter
	HeldEntriesDropped *metrics.Counter
	Unencodable        *metrics.Counter
	EntriesRead        *metrics.Counter
	BytesRead          *metrics.Counter
	ReadFailures       *metrics.Counter
	Gaps               *metrics.Counter
	Unreadable         *metrics.Counter
}

// NewMetrics registers the counters of a stream in set.
func NewMetrics(set *metrics.Set, stream string) *Metrics {
	counter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("cactuswall_log_%s_total{stream=%q}", name, stream))
	}
	full := make(map[Class]*metrics.Counter)
	for class := range classLimits {
		name := fmt.Sprintf("cactuswall_log_records_refused_total{stream=%q,reason=\"queue_full\",class=%q}", stream, class)
		full[class] = set.GetOrCreateCounter(name)
	}
	return &Metrics{
		Appends:            counter("appends"),
		BytesAppended:      counter("appended_bytes"),
		AppendFailures:     counter("append_failures"),
		ConfirmedByReading: counter("appends_settled_by_reading"),
		Repeated:           counter("appends_repeated"),
		QueueFull:          full,
		HeldEntriesDropped: counter("held_entries_dropped"),
		Unencodable:        counter("records_unencodable"),
		EntriesRead:        counter("entries_read"),
		BytesRead:          counter("read_bytes"),
		ReadFailures:       counter("read_failures"),
		Gaps:               counter("gaps"),
		Unreadable:         counter("entries_unreadable"),
	}
}
