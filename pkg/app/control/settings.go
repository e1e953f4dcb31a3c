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

// Settings are the validated settings of a control process.
type Settings struct {
	id, dataCenter, region         string
	operatorAddress                string
	adminAddress                   string
	entryAddresses                 []string
	table                          process.TableConfig
	cloudAddress                   string
	hostListAddress                string
	platformTimeout                time.Duration
	operatorKeys                   []string
	shardCount                     int
	leaseTiming                    lease.Timing
	watchInterval                  time.Duration
	hostListInterval               time.Duration
	reportInterval                 time.Duration
	peerTLSFiles, operatorTLSFiles secure.Files
	tracing                        process.Tracing
	logLevel                       string
}

// ParseSettings parses and validates a settings file.
func ParseSettings(file string, data []byte) (Settings, error) {
	settingsSchema, err := settings.ParseSchema(schema.Control)
	if err != nil {
		return Settings{}, err
	}
	var w controlschema.Control
	if err := settingsSchema.Read(file, data, &w); err != nil {
		return Settings{}, err
	}
	return fromWire(w), nil
}

func fromWire(w controlschema.Control) Settings {
	return Settings{
		id: w.Node.ID, dataCenter: w.Node.DataCenter, region: w.Node.Region,
		operatorAddress: w.Node.OperatorAddress, adminAddress: w.Node.AdminAddress, entryAddresses: w.Node.Entries,
		table: tableConfig(w.Platform), cloudAddress: w.Platform.Cloud, hostListAddress: w.Platform.HostList,
		platformTimeout: w.Platform.Timeout,
		operatorKeys:    w.Operators.Keys, shardCount: w.Shards.Count,
		leaseTiming: lease.Timing{Duration: w.Shards.Lease, RenewInterval: w.Shards.Renew}, watchInterval: w.Shards.Watch,
		hostListInterval: w.Shards.Hosts, reportInterval: w.Shards.Reports,
		peerTLSFiles:     secure.Files{Cert: w.TLS.PeerCert, Key: w.TLS.PeerKey, CA: w.TLS.PeerCa},
		operatorTLSFiles: secure.Files{Cert: w.TLS.OperatorCert, Key: w.TLS.OperatorKey},
		tracing:          process.Tracing{Address: w.Trace.OtlpAddress, SampleRatio: w.Trace.Sample},
		logLevel:         string(w.Log.Level),
	}
}

func tableConfig(w *controlschema.ControlPlatform) process.TableConfig {
	budget := table.Budget{ReadsPerSecond: w.ReadsPerSecond, WritesPerSecond: w.WritesPerSecond}
	return process.TableConfig{Address: w.Table, Timeout: w.Timeout, Budget: budget}
}
