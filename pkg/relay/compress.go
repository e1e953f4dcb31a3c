package relay

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"ironhollow/pkg/feed"
)

// contentEncoding is the encoding of compressed responses, minCompressBytes the length from which
// responses are compressed. A table of thousands of endpoints is sent to each host of a data
// centre, and rows of the same kind differ little.
const (
	contentEncoding  = "gzip"
	minCompressBytes = 4 << 10
)

// Headers of a compressed response. Its body is the rows alone, so that all followers share it.
const (
	versionHeader   = "Relay-Version"
	storeTimeHeader = "Relay-Store-Ms"
	// completeHeader is missing in responses of earlier versions.
	completeHeader = "Relay-Complete-Ms"
)

// compress compresses encoded rows with gzip; it returns nil if they are too short.
func compress(plain []byte) ([]byte, error) {
	if len(plain) < minCompressBytes {
		return nil, nil
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return compressed.Bytes(), nil
}

// writeCompressed writes a response with compressed rows.
func (resp tableResponse) writeCompressed(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Encoding", contentEncoding)
	h.Set(versionHeader, strconv.FormatInt(resp.version, 10))
	h.Set(storeTimeHeader, strconv.FormatInt(resp.storeTime.Milliseconds(), 10))
	h.Set(completeHeader, strconv.FormatInt(resp.completeAt.Milliseconds(), 10))
	// Ignore the error: the follower has disconnected.
	_, _ = w.Write(resp.rows.compressed)
}

// readCompressed reads a response with compressed rows.
func readCompressed(response *http.Response) (feed.Batch, error) {
	r, err := gzip.NewReader(response.Body)
	if err != nil {
		return feed.Batch{}, fmt.Errorf("relay: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxResponseBytes))
	if err != nil {
		return feed.Batch{}, fmt.Errorf("relay: %w", err)
	}
	batch, err := decodeBatch(data)
	if err != nil {
		return feed.Batch{}, err
	}
	version, err := strconv.ParseInt(response.Header.Get(versionHeader), 10, 64)
	if err != nil {
		return feed.Batch{}, fmt.Errorf("relay: version: %w", err)
	}
	storeMS, err := strconv.ParseInt(response.Header.Get(storeTimeHeader), 10, 64)
	if err != nil {
		return feed.Batch{}, fmt.Errorf("relay: store time: %w", err)
	}
	batch.Version, batch.StoreTime = version, time.Duration(storeMS)*time.Millisecond
	if text := response.Header.Get(completeHeader); text != "" {
		completeMS, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return feed.Batch{}, fmt.Errorf("relay: time of the store's answer: %w", err)
		}
		batch.CompleteAt = time.Duration(completeMS) * time.Millisecond
	}
	return batch, nil
}
