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

// Settings are the checked settings of an entry.
type Settings struct {
	node          membership.Node
	adminAddress  string
	seeds         []string
	table         process.TableConfig
	objectAddress string
	platformTime  time.Duration
	limits        callerapi.Limits
	readTimeout   time.Duration
	jobs          int
	acceptWindow  time.Duration
	// loadPolls is endpoints asked for their load a second.
	loadPolls   float64
	drainNotice time.Duration
	drainMost   time.Duration
	peerFiles   secure.Files
	callerFiles secure.Files
	tracing     process.Tracing
	logLevel    string
}

// Read checks a settings file.
func Read(file string, data []byte) (Settings, error) {
	shape, err := settings.ParseSchema(schema.Entry)
	if err != nil {
		return Settings{}, err
	}
	var w entryschema.Entry
	if err := shape.Read(file, data, &w); err != nil {
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
		adminAddress:  w.Node.AdminAddress,
		seeds:         w.Node.Seeds,
		table:         tableOf(w.Platform),
		objectAddress: w.Platform.Objects,
		platformTime:  w.Platform.Timeout,
		limits: callerapi.Limits{
			BodyBytes: int64(w.Limits.BodyBytes), ResponseBytes: int64(w.Limits.AnswerBytes),
			Requests: int64(w.Limits.Requests), WriteTimeout: w.Limits.WriteTimeout,
		},
		readTimeout:  w.Limits.ReadTimeout,
		jobs:         w.Limits.Jobs,
		acceptWindow: w.Limits.AcceptWindow,
		loadPolls:    w.Limits.LoadPolls,
		drainNotice:  w.Drain.Notice,
		drainMost:    w.Drain.Most,
		peerFiles:    secure.Files{Cert: w.TLS.PeerCert, Key: w.TLS.PeerKey, CA: w.TLS.PeerCa},
		callerFiles:  secure.Files{Cert: w.TLS.CallerCert, Key: w.TLS.CallerKey},
		tracing:      process.Tracing{Address: w.Trace.OtlpAddress, SampleRatio: w.Trace.Sample},
		logLevel:     string(w.Log.Level),
	}
}

func tableOf(w *entryschema.EntryPlatform) process.TableConfig {
	budget := table.Budget{ReadsPerSecond: w.ReadsPerSecond, WritesPerSecond: w.WritesPerSecond}
	return process.TableConfig{Address: w.Table, Timeout: w.Timeout, Budget: budget}
}
