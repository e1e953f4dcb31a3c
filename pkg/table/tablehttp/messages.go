// Package tablehttp is the table service's protocol: JSON over HTTP. The
// client speaks it and the stand-in serves it.
package tablehttp

import "ironhollow/pkg/table"

// Paths of the protocol.
const (
	PathCommit = "/v1/commit"
	PathRow    = "/v1/row"
	PathRows   = "/v1/rows"
)

// Conditions as sent.
const (
	ifAlways  = "always"
	ifAbsent  = "absent"
	ifVersion = "version"
)

// Row is a row as sent.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Version  int64  `json:"version"`
	Writer   string `json:"writer"`
	Sequence int64  `json:"sequence"`
}

// Write is a write as sent.
type Write struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	If      string `json:"if"`
	Version int64  `json:"version,omitempty"`
	Delete  bool   `json:"delete,omitempty"`
	Check   bool   `json:"check,omitempty"`
}

// Commit is a commit as sent.
type Commit struct {
	Writer   string  `json:"writer"`
	Sequence int64   `json:"sequence"`
	Writes   []Write `json:"writes"`
}

// Result answers a commit: a version, or the rows that stood against it.
type Result struct {
	Version   int64 `json:"version"`
	Conflicts []Row `json:"conflicts,omitempty"`
}

// Rows answers a listing.
type Rows struct {
	Rows []Row `json:"rows"`
}

// FromRow maps a domain row.
func FromRow(r table.Row) Row {
	return Row{r.Key, r.Value, r.Version, r.Token.Writer, r.Token.Sequence}
}

// TableRow maps back to a domain row.
func (r Row) TableRow() table.Row {
	return table.Row{Key: r.Key, Value: r.Value, Version: r.Version, Token: table.Token{Writer: r.Writer, Sequence: r.Sequence}}
}

// FromRows maps domain rows.
func FromRows(rows []table.Row) []Row {
	out := make([]Row, len(rows))
	for i, r := range rows {
		out[i] = FromRow(r)
	}
	return out
}

// TableRows maps back to domain rows.
func TableRows(rows []Row) []table.Row {
	out := make([]table.Row, len(rows))
	for i, r := range rows {
		out[i] = r.TableRow()
	}
	return out
}

// FromCommit maps a domain commit.
func FromCommit(c table.Commit) Commit {
	out := Commit{Writer: c.Token.Writer, Sequence: c.Token.Sequence}
	for _, w := range c.Writes {
		sent := Write{Key: w.Key, Value: w.Value, Delete: w.Delete, Check: w.CheckOnly}
		switch cond := w.If.(type) {
		case table.Absent:
			sent.If = ifAbsent
		case table.AtVersion:
			sent.If = ifVersion
			sent.Version = cond.Version
		default:
			sent.If = ifAlways
		}
		out.Writes = append(out.Writes, sent)
	}
	return out
}

// TableCommit maps back to a domain commit.
func (c Commit) TableCommit() table.Commit {
	out := table.Commit{Token: table.Token{Writer: c.Writer, Sequence: c.Sequence}}
	for _, w := range c.Writes {
		write := table.Write{Key: w.Key, Value: w.Value, Delete: w.Delete, CheckOnly: w.Check, If: table.Always{}}
		switch w.If {
		case ifAbsent:
			write.If = table.Absent{}
		case ifVersion:
			write.If = table.AtVersion{Version: w.Version}
		}
		out.Writes = append(out.Writes, write)
	}
	return out
}
