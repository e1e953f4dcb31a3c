package control

import (
	"time"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/secure"
	"ironhollow/pkg/settings"
	"ironhollow/pkg/settings/controlschema"
	"ironhollow/pkg/table"
	"ironhollow/schema"
)

// Settings are the checked settings of a control process.
type Settings struct {
	id, dataCenter, region  string
	operatorAddress         string
	adminAddress            string
	entries                 []string
	table                   process.TableConfig
	cloudAddress            string
	hostListAddress         string
	platformTime            time.Duration
	operatorKeys            []string
	shards                  int
	leaseTiming             lease.Timing
	watchPeriod             time.Duration
	hostListPeriod          time.Duration
	reportPeriod            time.Duration
	peerFiles, operatorFile secure.Files
	tracing                 process.Tracing
	logLevel                string
}

// ParseSettings checks a settings file.
func ParseSettings(file string, data []byte) (Settings, error) {
	shape, err := settings.ParseSchema(schema.Control)
	if err != nil {
		return Settings{}, err
	}
	var w controlschema.Control
	if err := shape.Read(file, data, &w); err != nil {
		return Settings{}, err
	}
	return fromWire(w), nil
}

func fromWire(w controlschema.Control) Settings {
	return Settings{
		id: w.Node.ID, dataCenter: w.Node.DataCenter, region: w.Node.Region,
		operatorAddress: w.Node.OperatorAddress, adminAddress: w.Node.AdminAddress, entries: w.Node.Entries,
		table: tableOf(w.Platform), cloudAddress: w.Platform.Cloud, hostListAddress: w.Platform.HostList,
		platformTime: w.Platform.Timeout,
		operatorKeys: w.Operators.Keys, shards: w.Shards.Count,
		leaseTiming: lease.Timing{Duration: w.Shards.Lease, RenewInterval: w.Shards.Renew}, watchPeriod: w.Shards.Watch,
		hostListPeriod: w.Shards.Hosts, reportPeriod: w.Shards.Reports,
		peerFiles:    secure.Files{Cert: w.TLS.PeerCert, Key: w.TLS.PeerKey, CA: w.TLS.PeerCa},
		operatorFile: secure.Files{Cert: w.TLS.OperatorCert, Key: w.TLS.OperatorKey},
		tracing:      process.Tracing{Address: w.Trace.OtlpAddress, SampleRatio: w.Trace.Sample},
		logLevel:     string(w.Log.Level),
	}
}

func tableOf(w *controlschema.ControlPlatform) process.TableConfig {
	budget := table.Budget{ReadsPerSecond: w.ReadsPerSecond, WritesPerSecond: w.WritesPerSecond}
	return process.TableConfig{Address: w.Table, Timeout: w.Timeout, Budget: budget}
}
