package cli

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ironhollow/pkg/explain"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/operatorapi/operatorwire"
	"ironhollow/pkg/secure"
)

func (t *tool) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show entry hosts, endpoints and shards as one control process knows them",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := t.client()
			if err != nil {
				return err
			}
			status, err := client.Status(command.Context())
			if err != nil {
				return err
			}
			return t.print(status, func(w io.Writer) { printStatus(w, status) })
		},
	}
}

func printStatus(w io.Writer, s operatorwire.ControlStatus) {
	writeRow(w, "revision", s.Revision)
	if s.StoreDown {
		writeRow(w, "table service", "does not answer")
	}
	writeRow(w, "shards held by "+s.Node, len(s.Shards))
	writeRow(w, "")
	writeRow(w, "NODE", "STATUS", "DATA CENTRE", "CALLERS CONNECT TO", "CONTROL", "LOAD")
	for _, n := range s.Nodes {
		status := n.Status
		if n.Leaving {
			status += ", leaving"
		}
		writeRow(w, n.Node, status, n.DataCenter, n.CallerAddress, n.Control, fmt.Sprintf("%d%%", 10*n.Load))
	}
	writeRow(w, "")
	writeRow(w, "ENDPOINT", "STATE", "DATA CENTRE", "CLASS", "SERVES", "ADDRESS")
	for _, e := range s.Endpoints {
		serves := e.Service
		if e.Model != "" {
			serves = e.Model + "@" + e.Version
		}
		writeRow(w, e.Endpoint, e.State, e.DataCenter, e.Class, serves, e.Address)
	}
}

func (t *tool) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain ADMIN-ADDRESS",
		Short: "Begin the planned stop of the entry with this admin address",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			t.servers = []string{args[0]}
			client, err := t.client()
			if err != nil {
				return err
			}
			if err := client.CallAdmin(command.Context(), http.MethodPost, args[0], "/drain", nil); err != nil {
				return err
			}
			return t.print(struct {
				Draining string `json:"draining"`
			}{args[0]}, func(w io.Writer) { writeRow(w, args[0], "is draining") })
		},
	}
}

var errServiceAndRequest = errors.New("one of --service and --request is needed, or neither for the latest requests")

func (t *tool) explainCommand() *cobra.Command {
	var service, request string
	var logs []string
	var count int
	command := &cobra.Command{
		Use:   "explain [ADMIN-ADDRESS]",
		Short: "Show why requests went where they went, or the sums of a choice made now",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return t.explainLogs(request, logs)
			}
			if len(args) == 0 {
				return errNoSource
			}
			if service != "" && request != "" {
				return errServiceAndRequest
			}
			t.servers = []string{args[0]}
			if service != "" {
				return t.explainService(command, args[0], service)
			}
			return t.explainRequests(command, args[0], request, count)
		},
	}
	command.Flags().StringVar(&service, "service", "", "show every endpoint's sums for this service")
	command.Flags().StringVar(&request, "request", "", "show one request, by the Ironhollow-Request header of its answer")
	command.Flags().StringArrayVar(&logs, "logs", nil, "log file of a host, once for each; needs --request and no address")
	command.Flags().IntVar(&count, "count", 10, "how many of the latest requests to show")
	return command
}

var (
	errNoSource  = errors.New("an admin address or --logs is needed")
	errNoRequest = errors.New("--logs needs --request")
)

// explainLogs prints the timeline of a request, combined from the log files of all hosts.
func (t *tool) explainLogs(request string, files []string) error {
	if request == "" {
		return errNoRequest
	}
	var lines []explain.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		parsed, err := explain.ReadLogs(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, parsed...)
	}
	steps := explain.Timeline(lines, request)
	if len(steps) == 0 {
		return fmt.Errorf("no line of the logs names the request %s", request)
	}
	return t.print(steps, func(w io.Writer) {
		writeRow(w, "TIME", "HOST", "WHAT")
		for _, s := range steps {
			writeRow(w, s.At.Format("15:04:05.000"), s.Node, s.Text)
		}
	})
}

func (t *tool) explainService(command *cobra.Command, address, service string) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	var candidates []operatorwire.Candidate
	if err := client.CallAdmin(command.Context(), http.MethodGet, address, "/explain/services/"+url.PathEscape(service), &candidates); err != nil {
		return err
	}
	return t.print(candidates, func(w io.Writer) {
		writeRow(w, "ENDPOINT", "DATA CENTRE", "USABLE", "WAIT MS", "+ DECODE MS", "+ RISK MS", "= TOTAL MS", "RUNNING", "RECLAIMS/HOUR")
		for _, c := range candidates {
			writeRow(w, c.Endpoint, c.DataCenter, c.Usable, c.WaitMS, c.DecodeMS, c.RiskMS, c.TotalMS, c.Running, fmt.Sprintf("%.3f", c.HazardPerHour))
		}
	})
}

func (t *tool) explainRequests(command *cobra.Command, address, request string, count int) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	path := fmt.Sprintf("/explain/requests?count=%d&request=%s", count, url.QueryEscape(request))
	var requests []operatorwire.ServedRequest
	if err := client.CallAdmin(command.Context(), http.MethodGet, address, path, &requests); err != nil {
		return err
	}
	return t.print(requests, func(w io.Writer) {
		for _, r := range requests {
			writeRow(w, r.RequestID, r.Team, r.Service, fmt.Sprintf("%.1f ms", r.DurationMS), fmt.Sprintf("%d tokens", r.Tokens), r.Failure)
			for i, attempt := range r.Attempts {
				writeRow(w, fmt.Sprintf("  attempt %d", i+1), attempt.Endpoint, attempt.Outcome, fmt.Sprintf("expected %.1f ms", attempt.ExpectedMS),
					fmt.Sprintf("%d tokens had", attempt.Tokens), fmt.Sprintf("%d cached", attempt.CachedTokens))
			}
		}
	})
}

func (t *tool) keysCommand() *cobra.Command {
	keys := &cobra.Command{Use: "keys", Short: "Make keys and certificates"}
	keys.AddCommand(t.keysNewCommand(), t.keysHashCommand())
	return keys
}

func (t *tool) keysNewCommand() *cobra.Command {
	var addresses []string
	command := &cobra.Command{
		Use:   "new DIRECTORY",
		Short: "Make a site's set of keys, or renew its certificates under the same authority",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var ips []net.IP
			for _, text := range addresses {
				ip := net.ParseIP(text)
				if ip == nil {
					return fmt.Errorf("--address: got %q, valid: an IP number", text)
				}
				ips = append(ips, ip)
			}
			if err := secure.GenerateCertificates(args[0], ips, time.Now()); err != nil {
				return err
			}
			return t.print(struct {
				Directory string `json:"directory"`
			}{args[0]}, func(w io.Writer) { writeRow(w, "keys are in", args[0]) })
		},
	}
	command.Flags().StringSliceVar(&addresses, "address", nil, "IP numbers that callers and operators connect to")
	return command
}

func (t *tool) keysHashCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "hash KEY",
		Short: "Print the form in which a bearer key stands in files",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return t.print(struct {
				Hash string `json:"hash"`
			}{fleet.HashKey(args[0])}, func(w io.Writer) { writeRow(w, fleet.HashKey(args[0])) })
		},
	}
}
