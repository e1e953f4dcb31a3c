package httpx_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/cloud"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/hostlist"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/object"
	"ironhollow/pkg/operatorapi/operatorwire"
	"ironhollow/pkg/operatorclient"
	"ironhollow/pkg/relay"
	"ironhollow/pkg/statetransfer"
	"ironhollow/pkg/table"
	"ironhollow/pkg/table/tablehttp"
	"ironhollow/pkg/upstream"
	"ironhollow/pkg/usage"
	"ironhollow/platform"
)

// failed is the result of a call that returns an error, or whose outcome is unknown.
const failed = "failed"

// server is where a client under test sends its call.
type server struct {
	client  *http.Client
	address string
}

func (s server) store() *platform.Store { return platform.NewStore(s.client, s.address, time.Second) }

func (s server) tables() *tablehttp.Client {
	return tablehttp.NewClient(s.address, time.Second, s.client)
}

func (s server) duties() *platform.Cloud { return platform.NewCloud(s.client, s.address, "h") }

func (s server) copy(stop bool) string {
	answer := platform.NewMoveCalls(upstream.New(time.Second)).Copy(context.Background(), migrate.CopyRequest{Source: migrate.Source{Address: s.address}, RunID: "r", Stop: stop})
	if answer.Result == migrate.Unknown {
		return failed
	}
	return fmt.Sprint(answer.Result, answer.Handle, answer.Events)
}

// changes follows a table through a relay, while the store does not answer.
func (s server) changes() string {
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	source := relay.NewSource(failingSource{}, nil, s.client, func() []string { return []string{s.address} }, func(string) time.Duration { return time.Second }, func() bool { return true }, logger)
	batch, err := source.Changes(context.Background(), "t", 1, time.Millisecond)
	return result(err, len(batch.Rows), batch.Version)
}

// state asks another host for its state at a start.
func (s server) state() string {
	logger, view := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, &recordingView{result: failed}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	syncer, done := statetransfer.NewSyncer(s.client, view, func() []string { return []string{s.address} }, nil, logger), make(chan struct{})
	go func() {
		defer close(done)
		syncer.Run(ctx, false)
	}()
	for !syncer.Asked() {
		time.Sleep(100 * time.Microsecond)
	}
	cancel()
	<-done
	return view.result
}

type failingSource struct{}

var errStoreAway = errors.New("the store is away")

func (failingSource) Snapshot(context.Context, string) (feed.Batch, error) {
	return feed.Batch{}, errStoreAway
}

func (failingSource) Changes(context.Context, string, int64, time.Duration) (feed.Batch, error) {
	return feed.Batch{}, errStoreAway
}

// recordingView is a host that records the state of another one.
type recordingView struct{ result string }

func (v *recordingView) ConfigurationVersion() int64 { return 0 }
func (v *recordingView) Loaded() bool                { return true }
func (v *recordingView) IsConfirmed() bool           { return true }
func (v *recordingView) StoreEra() int64             { return 0 }
func (v *recordingView) Apply(s statetransfer.State) {
	v.result = result(nil, s.Configuration.Version, len(s.Leaving), len(s.Tables["t"].Rows))
}

// manyRows are rows whose encoding is long enough to be compressed.
func manyRows() []feed.Row {
	rows := make([]feed.Row, 150)
	for i := range rows {
		rows[i] = feed.Row{Key: strconv.Itoa(i), Value: []byte("the value of a row, which is the same"), Version: 3}
	}
	return rows
}

type provider struct{ rows []feed.Row }

func (p provider) State(int64, bool) statetransfer.State {
	return statetransfer.State{
		Configuration: statetransfer.Configuration{Version: 7, Row: feed.Row{Key: "config", Value: []byte("v"), Version: 9}},
		Leaving:       []statetransfer.LeavingEndpoint{{ID: "e", StartedMS: 77}},
		Tables:        map[string]feed.Batch{"t": {Rows: p.rows, Version: 4}},
	}
}

// answerOf returns the body that a handler of ours sends, and its encoding as a header line.
func answerOf(handler http.Handler, target string) (body, header string) {
	recorder, request := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, target, nil)
	request.Header.Set("Accept-Encoding", "gzip")
	handler.ServeHTTP(recorder, request)
	for name, values := range recorder.Header() {
		if name != "Content-Type" {
			header += name + ": " + values[0] + "\r\n"
		}
	}
	return recorder.Body.String(), header
}

func relayAnswer(rows []feed.Row) (body, header string) {
	replica := relay.NewReplica(time.Now, func(string, []byte, []byte) bool { return true })
	replica.Reset("t", feed.Batch{Full: true, Version: 1})
	replica.Apply("t", feed.Batch{Rows: rows, Version: 9})
	return answerOf(replica, relay.Path+"?table=t&lag=1000&after=1&wait=0")
}

func stateAnswer(rows []feed.Row) (body, header string) {
	return answerOf(statetransfer.NewServer(provider{rows}, func() bool { return true }), statetransfer.Path+"?after=0")
}

func result(err error, values ...any) string {
	if err != nil {
		return failed
	}
	return fmt.Sprint(values...)
}

func outcome(o table.Outcome) string {
	switch o := o.(type) {
	case table.Committed:
		return "committed " + strconv.FormatInt(o.Version, 10)
	case table.Refused:
		return "refused " + strconv.Itoa(len(o.Conflicts))
	default:
		return failed
	}
}

// truncationCase is a call and its whole answer.
type truncationCase struct {
	name, status, body, header string
	call                       func(server) string
	want                       string
	// statusDecides is set if the protocol gives the result by the status alone.
	statusDecides bool
}

const rowsBody = `{"rows":[{"table":"t","private_key":"a","value":"cGxhaW4=","schema_version":3}],"schema_version":5,"now_ms":10}`

func truncationCases() []truncationCase {
	ctx, commit := context.Background(), table.Commit{Token: table.Token{Writer: "w", Sequence: 3}, Writes: []table.Write{{Key: "t/a", If: table.Absent{}}}}
	storeCommit := func(s server) string { return outcome(s.store().Commit(ctx, commit)) }
	tableCommit := func(s server) string { return outcome(s.tables().Commit(ctx, commit)) }
	changes := func(s server) string { return s.changes() }
	state := func(s server) string { return s.state() }
	relayBody, relayHeader := relayAnswer(manyRows()[:2])
	relayCompressed, relayCompressedHeader := relayAnswer(manyRows())
	stateBody, stateHeader := stateAnswer(manyRows()[:2])
	stateCompressed, stateCompressedHeader := stateAnswer(manyRows())
	return []truncationCase{
		{name: "store: committed", status: "200", body: `{"schema_version":412,"now_ms":51230}`, call: storeCommit, want: "committed 412"},
		{name: "store: conflict", status: "412", body: rowsBody, call: storeCommit, want: "refused 1"},
		{name: "store: rejected", status: "503", body: "busy", call: storeCommit, want: "refused 0", statusDecides: true},
		{name: "store: unclear", status: "500", body: "error", call: storeCommit, want: failed},
		{name: "store: row", status: "200", body: rowsBody, want: "true", call: func(s server) string {
			_, ok, err := s.store().Get(ctx, "t/a")
			return result(err, ok)
		}},
		{name: "store: list", status: "200", body: rowsBody, want: "1", call: func(s server) string {
			rows, err := s.store().List(ctx, "t/", "", 9)
			return result(err, len(rows))
		}},
		{name: "store: snapshot", status: "200", body: rowsBody, want: "1 5", call: func(s server) string {
			batch, err := s.store().Snapshot(ctx, "t")
			return result(err, len(batch.Rows), batch.Version)
		}},
		{name: "store: changes", status: "200", body: rowsBody, want: "1 5", call: func(s server) string {
			batch, err := s.store().Changes(ctx, "t", 4, time.Millisecond)
			return result(err, len(batch.Rows), batch.Version)
		}},
		{name: "duties: report", status: "200", body: "{}", want: "done", statusDecides: true, call: func(s server) string {
			return result(s.duties().Report(ctx, lease.Grant{Epoch: 1}, usage.Report{Window: 5}), "done")
		}},
		{name: "duties: no capacity", status: "409", body: "none", want: "true", statusDecides: true, call: func(s server) string {
			err := s.duties().Order(ctx, lease.Grant{Epoch: 1}, autoscale.Order{Service: "s"})
			if !errors.Is(err, autoscale.ErrNoCapacity) {
				return failed
			}
			return "true"
		}},
		{name: "move: stopped", status: "200", body: `{"kv_handle":"h-1","created":12}`, want: "copiedh-112", call: func(s server) string { return s.copy(true) }},
		{name: "move: no run", status: "404", body: "no", want: "no-run0", statusDecides: true, call: func(s server) string { return s.copy(false) }},
		{name: "move: report", status: "200", body: `{"leaves_ms":7,"runs":[["r",1,2,3],["q",1,2,3]]}`, want: "true 2", call: func(s server) string {
			report, err := platform.NewMoveCalls(upstream.New(time.Second)).Report(ctx, migrate.Source{Address: s.address})
			return result(err, report.HasLeft, len(report.Runs))
		}},
		{name: "relay: changes", status: "200", body: relayBody, header: relayHeader, want: "2 9", call: changes},
		{name: "relay: compressed changes", status: "200", body: relayCompressed, header: relayCompressedHeader, want: "150 9", call: changes},
		{name: "state", status: "200", body: stateBody, header: stateHeader, want: "7 1 2", call: state},
		{name: "compressed state", status: "200", body: stateCompressed, header: stateCompressedHeader, want: "7 1 150", call: state},
		{name: "tables: committed", status: "200", body: `{"version":9}`, call: tableCommit, want: "committed 9"},
		{name: "tables: conflict", status: "409", body: `{"version":0,"conflicts":[{"key":"t/a","version":8,"writer":"w","sequence":3}]}`, call: tableCommit, want: "refused 1"},
		{name: "tables: row", status: "200", body: `{"key":"t/a","version":8,"writer":"w","sequence":3}`, want: "8 true", call: func(s server) string {
			row, ok, err := s.tables().Get(ctx, "t/a")
			return result(err, row.Version, ok)
		}},
		{name: "tables: no row", status: "404", body: "none", want: "false", statusDecides: true, call: func(s server) string {
			_, ok, err := s.tables().Get(ctx, "t/a")
			return result(err, ok)
		}},
		{name: "tables: list", status: "200", body: `{"rows":[{"key":"t/a","version":8},{"key":"t/b","version":9}]}`, want: "2", call: func(s server) string {
			rows, err := s.tables().List(ctx, "t/", "", 9)
			return result(err, len(rows))
		}},
		{name: "object", status: "200", body: `{"messages":[{"role":"user","content":"a question"}],"max_tokens":12}`, want: "true69", call: func(s server) string {
			data, ok, err := object.New(s.address, time.Second, s.client).Get(ctx, "k")
			return result(err, strconv.FormatBool(ok)+strconv.Itoa(len(data)))
		}},
		{name: "cloud: notices", status: "200", body: `[{"sequence":1,"host":"a"},{"sequence":2,"host":"b"}]`, want: "2", call: func(s server) string {
			notices, err := cloud.New(s.address, time.Second, s.client).Notices(ctx, 0)
			return result(err, len(notices))
		}},
		{name: "cloud: started", status: "200", body: `{"host":"h1"}`, want: "h1", call: func(s server) string {
			host, err := cloud.New(s.address, time.Second, s.client).StartHost(ctx, cloud.Order{})
			return result(err, host)
		}},
		{name: "hosts", status: "200", body: `[{"id":"a","address":"10.0.0.1:1"},{"id":"b","address":"10.0.0.2:1"}]`, want: "2", call: func(s server) string {
			hosts, err := hostlist.New(s.address, time.Second, s.client).Hosts(ctx, "")
			return result(err, len(hosts))
		}},
		{name: "operators: configuration", status: "200", body: `{"revision":7,"sections":[{"kind":"k","name":"n","body":"b"}]}`, want: "7 1", call: func(s server) string {
			client, _ := operatorclient.New([]string{s.address}, "key", "")
			revision, sections, err := client.Config(ctx)
			return result(err, revision, len(sections))
		}},
		{name: "operators: status", status: "200", body: `[{"state":"Live"},{"state":"Gone"}]`, want: "2", call: func(s server) string {
			client, _ := operatorclient.New([]string{s.address}, "key", "")
			var endpoints []operatorwire.EndpointStatus
			return result(client.CallAdmin(ctx, http.MethodGet, s.address, "/status", &endpoints), len(endpoints))
		}},
	}
}

// serveText answers each request with the current text and closes the connection.
func serveText(t *testing.T, text *atomic.Pointer[string]) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, *text.Load())
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against clients that take an answer that ended early for a whole one.
func TestTruncatedAnswersAreNotWhole(t *testing.T) {
	for _, c := range truncationCases() {
		t.Run(c.name, func(t *testing.T) {
			var text atomic.Pointer[string]
			s := server{&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, serveText(t, &text)}
			for framing, framed := range map[string]string{
				"length": "Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n\r\n" + c.body,
				"chunks": "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(c.body)), 16) + "\r\n" + c.body + "\r\n0\r\n\r\n",
				"close":  "\r\n" + c.body,
			} {
				whole := "HTTP/1.1 " + c.status + " Status\r\n" + c.header + framed
				head := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
				bodyEnd := strings.LastIndex(whole, c.body) + len(c.body)
				for end := range len(whole) + 1 {
					part := whole[:end]
					text.Store(&part)
					got := c.call(s)
					mayBeWhole := end >= bodyEnd || c.statusDecides && end >= head
					if got != failed && (got != c.want || !mayBeWhole) || end == len(whole) && got != c.want {
						t.Errorf("%s, %d of %d bytes, %d of the body: got %q, want %q of the whole", framing, end, len(whole), end-head, got, c.want)
					}
				}
			}
		})
	}
}
