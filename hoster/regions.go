package hoster

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/localizer"
	"go.uber.org/zap"
)

// LogUnknownRegions returns a listener for Snapshots that logs, once for each configuration,
// the allowed regions that no data centre of z has. They permit no data centre. The listener
// must be called by one goroutine at a time.
func LogUnknownRegions(z localizer.Zones, l *zap.Logger) func(cataloger.Snapshot) {
	var logged *cataloger.Config
	return func(s cataloger.Snapshot) {
		if s.Config == nil || s.Config == logged {
			return
		}
		repeated := logged != nil && logged.Version == s.Config.Version && slices.Equal(logged.Regions(), s.Config.Regions())
		logged = s.Config
		if unknown := z.Unknown(s.Config.Regions()); len(unknown) > 0 && !repeated {
			l.Warn("allowed regions without a data centre", zap.Strings("regions", unknown), zap.Int64("version", s.Config.Version), zap.Any("zones", z))
		}
	}
}
