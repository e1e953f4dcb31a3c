package forward

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"ironhollow/pkg/origin"
)

// Headers between hosts.
const (
	// headerDetour is in requests that another host forwards.
	headerDetour = "Ironhollow-Detour"
	// headerDetourRefusal is in responses that the host itself generated and not an endpoint: the
	// number of the result code.
	headerDetourRefusal = "Ironhollow-Detour-Refusal"
	// headerDetourAttempts is in responses: how many endpoints have received the request.
	headerDetourAttempts = "Ironhollow-Detour-Attempts"
	// headerDetourEndpoint is in responses: the endpoint that answered.
	headerDetourEndpoint = "Ironhollow-Detour-Endpoint"
	// headerDetourOrigin is in responses that are streams: where the stream began.
	headerDetourOrigin = "Ironhollow-Detour-Origin"
)

// detour is what the host that forwards a request states about it.
type detour struct {
	// configVersion is the configuration by which the request was admitted. A host with an older one
	// refuses it.
	configVersion int64
	// attempts is how many endpoints have received the request before.
	attempts int
	// isBudgeted is set if the request was counted for the retry budget before.
	isBudgeted bool
	// remaining is the time until the request's deadline.
	remaining time.Duration
	// isResume is set if the caller has received the head of a stream, whose run is counted already.
	// lastEventID is the last event that it has received.
	isResume    bool
	lastEventID string
	// avoid are the IDs of the endpoints that the request failed at.
	avoid []string
	// origin is where the stream that the request continues began, nil if it continues none.
	origin *origin.Source
	// openRun is the ID of the endpoint that may run the request, empty if none does.
	openRun string
	// mayRepeat is set if the route by which the request was admitted allows it to run again. Hosts of earlier releases
	// do not say so.
	mayRepeat bool
}

type wireDetour struct {
	ConfigVersion int64       `json:"config"`
	Attempts      int         `json:"attempts"`
	IsBudgeted    bool        `json:"counted"`
	RemainingMS   int64       `json:"remaining_ms"`
	IsResume      bool        `json:"resume,omitempty"`
	LastEventID   string      `json:"last_event,omitempty"`
	Avoid         []string    `json:"avoid,omitempty"`
	Origin        *wireOrigin `json:"origin,omitempty"`
	OpenRun       string      `json:"open_run,omitempty"`
	MayRepeat     bool        `json:"may_repeat,omitempty"`
}

type wireOrigin struct {
	Service string `json:"service"`
	Release string `json:"release"`
}

func encodeOrigin(source origin.Source) string {
	// A struct of strings can always be encoded.
	text, _ := json.Marshal(wireOrigin(source))
	return string(text)
}

func decodeOrigin(text string) (origin.Source, error) {
	var w wireOrigin
	if err := json.Unmarshal([]byte(text), &w); err != nil || w.Service == "" {
		return origin.Source{}, errors.Join(errUnknownOrigin, err)
	}
	return origin.Source(w), nil
}

func (d detour) encode() string {
	// A struct of numbers and strings can always be encoded.
	text, _ := json.Marshal(wireDetour{d.configVersion, d.attempts, d.isBudgeted, d.remaining.Milliseconds(), d.isResume, d.lastEventID, d.avoid, (*wireOrigin)(d.origin), d.openRun, d.mayRepeat})
	return string(text)
}

func decodeDetour(text string) (detour, error) {
	var w wireDetour
	if err := json.Unmarshal([]byte(text), &w); err != nil {
		return detour{}, err
	}
	return detour{w.ConfigVersion, max(w.Attempts, 0), w.IsBudgeted, time.Duration(max(w.RemainingMS, 0)) * time.Millisecond, w.IsResume, w.LastEventID, w.Avoid, (*origin.Source)(w.Origin), w.OpenRun, w.MayRepeat}, nil
}

// removeDetourHeaders removes the headers between hosts from those of a caller or an endpoint.
func removeDetourHeaders(h http.Header) {
	h.Del(headerDetour)
	h.Del(headerDetourRefusal)
	h.Del(headerDetourAttempts)
	h.Del(headerDetourEndpoint)
	h.Del(headerDetourOrigin)
}
