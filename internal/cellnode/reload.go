package cellnode

import (
	"reflect"

	"go.uber.org/zap"
)

// Reload takes in changed settings. Bounds take effect at once; addresses only with the next start.
func (n *Node) Reload(cause string, s Settings) {
	before := n.bounds.Swap(&s.Cell)
	needsStart := s.CallerAddress != n.settings.CallerAddress || s.ReadyAddress != n.settings.ReadyAddress ||
		s.PeerAddress != n.settings.PeerAddress || s.MetricsAddress != n.settings.MetricsAddress
	n.log.Info("settings reloaded", zap.String("cause", cause), zap.Bool("bounds_changed", !reflect.DeepEqual(*before, s.Cell)),
		zap.Bool("needs_start", needsStart))
}

// ReloadFailed notes that changed settings cannot be used; the former ones stay in force.
func (n *Node) ReloadFailed(cause string, err error) {
	n.metrics.GetOrCreateCounter("cactuswall_reloads_failed_total").Inc()
	n.log.Error("settings not reloaded", zap.String("cause", cause), zap.Error(err))
}
