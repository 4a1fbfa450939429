package cellnode

import (
	"reflect"

	"go.uber.org/zap"
)

// Reload applies changed settings. The settings of the cell take effect at once, all others only after a restart. cause
// is logged and names what triggered the reload.
func (n *Node) Reload(cause string, s Settings) {
	settings := n.withStoreLimits(s.Cell)
	before := n.cellSettings.Swap(settings)
	needsStart := s.CallerAddress != n.settings.CallerAddress || s.ReadyAddress != n.settings.ReadyAddress ||
		s.PeerAddress != n.settings.PeerAddress || s.MetricsAddress != n.settings.MetricsAddress
	n.log.Info("settings reloaded", zap.String("cause", cause), zap.Bool("bounds_changed", !reflect.DeepEqual(before, settings)),
		zap.Bool("needs_start", needsStart))
}

// ReloadFailed logs and counts that changed settings are invalid. The previous settings remain in effect.
func (n *Node) ReloadFailed(cause string, err error) {
	n.metrics.GetOrCreateCounter("cactuswall_reloads_failed_total").Inc()
	n.log.Error("failed to reload settings", zap.String("cause", cause), zap.Error(err))
}
