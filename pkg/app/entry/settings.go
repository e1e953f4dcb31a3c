package entry

import (
	"time"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/callerapi"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/secure"
	"ironhollow/pkg/settings"
	"ironhollow/pkg/settings/entryschema"
	"ironhollow/pkg/table"
	"ironhollow/schema"
)

// Settings are the validated settings of an entry.
type Settings struct {
	node              membership.Node
	adminAddress      string
	seeds             []string
	table             process.TableConfig
	objectAddress     string
	platformTimeout   time.Duration
	limits            callerapi.Limits
	readTimeout       time.Duration
	maxConcurrentJobs int
	acceptWindow      time.Duration
	// loadPollsPerSecond is the maximum number of endpoints whose load is polled per second.
	loadPollsPerSecond float64
	drainNotice        time.Duration
	drainTimeout       time.Duration
	peerTLSFiles       secure.Files
	callerTLSFiles     secure.Files
	tracing            process.Tracing
	logLevel           string
}

// ParseSettings parses and validates a settings file.
func ParseSettings(file string, data []byte) (Settings, error) {
	settingsSchema, err := settings.ParseSchema(schema.Entry)
	if err != nil {
		return Settings{}, err
	}
	var w entryschema.Entry
	if err := settingsSchema.Read(file, data, &w); err != nil {
		return Settings{}, err
	}
	return fromWire(w), nil
}

func fromWire(w entryschema.Entry) Settings {
	return Settings{
		node: membership.Node{
			ID: w.Node.ID, Status: membership.Alive, DataCenter: w.Node.DataCenter, Region: w.Node.Region,
			PeerAddress: w.Node.PeerAddress, CallerAddress: w.Node.CallerAddress,
		},
		adminAddress:    w.Node.AdminAddress,
		seeds:           w.Node.Seeds,
		table:           tableConfig(w.Platform),
		objectAddress:   w.Platform.Objects,
		platformTimeout: w.Platform.Timeout,
		limits: callerapi.Limits{
			BodyBytes: int64(w.Limits.BodyBytes), ResponseBytes: int64(w.Limits.AnswerBytes),
			Requests: int64(w.Limits.Requests), WriteTimeout: w.Limits.WriteTimeout,
		},
		readTimeout:        w.Limits.ReadTimeout,
		maxConcurrentJobs:  w.Limits.Jobs,
		acceptWindow:       w.Limits.AcceptWindow,
		loadPollsPerSecond: w.Limits.LoadPolls,
		drainNotice:        w.Drain.Notice,
		drainTimeout:       w.Drain.Most,
		peerTLSFiles:       secure.Files{Cert: w.TLS.PeerCert, Key: w.TLS.PeerKey, CA: w.TLS.PeerCa},
		callerTLSFiles:     secure.Files{Cert: w.TLS.CallerCert, Key: w.TLS.CallerKey},
		tracing:            process.Tracing{Address: w.Trace.OtlpAddress, SampleRatio: w.Trace.Sample},
		logLevel:           string(w.Log.Level),
	}
}

func tableConfig(w *entryschema.EntryPlatform) process.TableConfig {
	budget := table.Budget{ReadsPerSecond: w.ReadsPerSecond, WritesPerSecond: w.WritesPerSecond}
	return process.TableConfig{Address: w.Table, Timeout: w.Timeout, Budget: budget}
}
