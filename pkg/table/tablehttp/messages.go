// Package tablehttp implements the table service's protocol, JSON over HTTP: the
// client, and the messages that the stand-in for the service uses too.
package tablehttp

import "ironhollow/pkg/table"

// Paths of the protocol.
const (
	PathCommit = "/v1/commit"
	PathRow    = "/v1/row"
	PathRows   = "/v1/rows"
)

// Values of Write.If.
const (
	conditionAlways  = "always"
	conditionAbsent  = "absent"
	conditionVersion = "version"
)

// Row is the wire form of table.Row.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Version  int64  `json:"version"`
	Writer   string `json:"writer"`
	Sequence int64  `json:"sequence"`
}

// Write is the wire form of table.Write.
type Write struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	If        string `json:"if"`
	Version   int64  `json:"version,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
	CheckOnly bool   `json:"check,omitempty"`
}

// Commit is the wire form of table.Commit.
type Commit struct {
	Writer   string  `json:"writer"`
	Sequence int64   `json:"sequence"`
	Writes   []Write `json:"writes"`
}

// Result is the response to a commit: the new version, or the rows whose conditions
// failed.
type Result struct {
	Version   int64 `json:"version"`
	Conflicts []Row `json:"conflicts,omitempty"`
}

// Rows is the response to a list request.
type Rows struct {
	Rows []Row `json:"rows"`
}

// FromRow converts a table.Row to its wire form.
func FromRow(r table.Row) Row {
	return Row{r.Key, r.Value, r.Version, r.Token.Writer, r.Token.Sequence}
}

// TableRow converts r to a table.Row.
func (r Row) TableRow() table.Row {
	return table.Row{Key: r.Key, Value: r.Value, Version: r.Version, Token: table.Token{Writer: r.Writer, Sequence: r.Sequence}}
}

// FromRows converts table.Rows to their wire form.
func FromRows(rows []table.Row) []Row {
	out := make([]Row, len(rows))
	for i, r := range rows {
		out[i] = FromRow(r)
	}
	return out
}

// TableRows converts rows to table.Rows.
func TableRows(rows []Row) []table.Row {
	out := make([]table.Row, len(rows))
	for i, r := range rows {
		out[i] = r.TableRow()
	}
	return out
}

// FromCommit converts a table.Commit to its wire form.
func FromCommit(c table.Commit) Commit {
	out := Commit{Writer: c.Token.Writer, Sequence: c.Token.Sequence}
	for _, w := range c.Writes {
		write := Write{Key: w.Key, Value: w.Value, Delete: w.Delete, CheckOnly: w.CheckOnly}
		switch condition := w.If.(type) {
		case table.Absent:
			write.If = conditionAbsent
		case table.AtVersion:
			write.If = conditionVersion
			write.Version = condition.Version
		default:
			write.If = conditionAlways
		}
		out.Writes = append(out.Writes, write)
	}
	return out
}

// TableCommit converts c to a table.Commit.
func (c Commit) TableCommit() table.Commit {
	out := table.Commit{Token: table.Token{Writer: c.Writer, Sequence: c.Sequence}}
	for _, w := range c.Writes {
		write := table.Write{Key: w.Key, Value: w.Value, Delete: w.Delete, CheckOnly: w.CheckOnly, If: table.Always{}}
		switch w.If {
		case conditionAbsent:
			write.If = table.Absent{}
		case conditionVersion:
			write.If = table.AtVersion{Version: w.Version}
		}
		out.Writes = append(out.Writes, write)
	}
	return out
}
