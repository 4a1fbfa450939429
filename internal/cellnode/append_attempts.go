package cellnode

import (
	"math/bits"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/appender"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// minLoggedAttempt is the first attempt of an append that is logged. Later ones are logged as their number doubles.
const minLoggedAttempt = 4

// newAppender returns an appender that writes to a partition as a producer, within the limits of the store.
func (n *Node) newAppender(p store.Partition, producer string, epoch int64) *appender.Appender {
	return appender.New(n.platform.Store, p, producer, epoch, n.appendLimits(), n.observeAppend)
}

// appendLimits returns the limits of the store.
func (n *Node) appendLimits() appender.Limits {
	return appender.Limits{RecordBytes: n.settings.MaxRecordBytes, CallBytes: n.settings.MaxCallBytes}
}

// observeAppend counts the attempts of appends that were not the first, and what appends store. It logs attempts that go on
// failing.
func (n *Node) observeAppend(a appender.Attempt) {
	label := `{topic="` + a.Partition.Topic + `"}`
	if a.Err == nil {
		n.metrics.GetOrCreateCounter(`cactuswall_append_bytes_total` + label).Add(a.Bytes)
		n.metrics.GetOrCreateHistogram(`cactuswall_append_largest_record_bytes` + label).Update(float64(a.LargestBytes))
	}
	if a.Number > 1 {
		n.metrics.GetOrCreateCounter(`cactuswall_append_repetitions_total` + label).Inc()
	}
	if a.Err == nil {
		return
	}
	fields := []zap.Field{zap.String("topic", a.Partition.Topic), zap.Int("cell", a.Partition.Number), zap.Int("attempts", a.Number),
		zap.Int("records", a.Records), zap.Int("bytes", a.Bytes), zap.String("largest_key", a.LargestKey),
		zap.Int("largest_bytes", a.LargestBytes), zap.Stringer("verdict", verdict.Of(a.Err)), zap.Error(a.Err)}
	switch {
	case store.HasReason(a.Err, store.ReasonRejected):
		n.log.Warn("append rejected for good", fields...)
	case a.Number >= minLoggedAttempt && bits.OnesCount(uint(a.Number)) == 1:
		n.log.Warn("append fails again and again", fields...)
	}
}
