package storeview

import (
	"strings"
	"time"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/statetransfer"
)

// applyConfiguration applies rows of the configuration's table, which also has the roll-out orders.
func (v *View) applyConfiguration(batch feed.Batch) {
	unconfirmed := v.routeTables.Unconfirmed()
	v.routeTables.MarkConfirmed()
	first := !v.configurationRead
	v.configurationRead = true
	for _, row := range batch.Rows {
		if strings.HasPrefix(row.Key, v.decoder.Tables().OrderPrefix) {
			v.applyOrder(row, first)
			continue
		}
		if row.Key != v.decoder.Tables().ConfigurationKey || row.Deleted {
			continue
		}
		v.adoptConfiguration(row, "store", unconfirmed)
	}
}

// adoptConfiguration puts a configuration in force if it is newer than the current one. source
// names where it was received from.
func (v *View) adoptConfiguration(row feed.Row, source string, unconfirmed time.Duration) {
	spec, err := v.decoder.DecodeConfiguration(row.Value)
	if err != nil {
		v.log.Error().Err(err).Int64("row", row.Version).Str("source", source).Msg("failed to decode configuration")
		return
	}
	if !v.routeTables.Adopt(spec) {
		return
	}
	v.configuration.Store(&statetransfer.Configuration{Version: spec.Version, Row: row})
	v.log.Info().Int64("version", spec.Version).Int64("row", row.Version).Str("source", source).Int("routes", len(spec.Routes)).Int("teams", len(spec.Teams)).
		Bool("keys-required", !spec.WithoutKeys).Dur("unconfirmed", unconfirmed).Msg("configuration in force")
}

// applyOrder applies an operator's roll-out order. first is set if the row is from the first
// read after the start of this process, so that the order may be an old one.
func (v *View) applyOrder(row feed.Row, first bool) {
	if row.Deleted {
		v.log.Info().Str("row", row.Key).Msg("row of a roll-out order deleted, the roll-out continues as ordered")
		return
	}
	order, err := v.decoder.DecodeOrder(row.Value, row.Version)
	if err != nil {
		v.log.Error().Err(err).Int64("row", row.Version).Msg("failed to decode roll-out order")
		return
	}
	if v.rollouts.AddOrder(order, first) {
		v.log.Info().Str("service", order.Service).Str("target", order.Target).Dur("period", order.Period).Int64("order", order.ID).
			Bool("at-start", first).Msg("roll-out ordered")
	}
}
