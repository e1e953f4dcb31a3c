package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"

	"ironhollow/pkg/httpx"
)

// checkHead returns an error if the head of a response is malformed although the parser has accepted it: it skips a line
// without a name and keeps a name with blanks, by which no header is found, and it ignores Transfer-Encoding in HTTP/1.0. The
// body would not be framed as the endpoint meant it. head is the head as received.
func checkHead(head []byte, response *http.Response) error {
	if err := httpx.CheckStatusLine(response); err != nil {
		return err
	}
	_, lines, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(lines) {
		if line[0] == ' ' || line[0] == '\t' || len(bytes.TrimRight(line, "\r\n")) == 0 {
			// A continuation of the previous line, or the end of the head.
			continue
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return fmt.Errorf("%w: header name %q", httpx.ErrMalformedResponse, name)
		}
		if !response.ProtoAtLeast(1, 1) && strings.EqualFold(string(name), "Transfer-Encoding") {
			return fmt.Errorf("%w: Transfer-Encoding in %s", httpx.ErrMalformedResponse, response.Proto)
		}
	}
	return nil
}
