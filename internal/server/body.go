package server

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// maxBodyBytes bounds a request body before its entry is known.
const maxBodyBytes = 4 << 20

// readBody reads a JSON body and counts its bytes towards the memory budgets as they arrive.
func (s *Server) readBody(w http.ResponseWriter, r *request) ([]byte, error) {
	if t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || t != "application/json" {
		return nil, newRefusal(http.StatusUnsupportedMediaType, "wrong_content_type", "the body must be application/json")
	}
	buf := &bytes.Buffer{}
	in := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	for {
		before := buf.Cap()
		n, err := io.CopyN(buf, in, bodyChunkBytes)
		if full := r.account.reserve(buf.Cap() - before); full != nil {
			return nil, closeAfterRefusal(full)
		}
		if errors.Is(err, io.EOF) && n < bodyChunkBytes {
			break
		}
		if err != nil {
			return nil, bodyRefusal(err)
		}
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return buf.Bytes(), nil
}

// bodyChunkBytes is how much of a body is read before its bytes are counted.
const bodyChunkBytes = 16 << 10

// closeAfterRefusal marks a refusal to close the connection, since the rest of the body is not read.
func closeAfterRefusal(err error) error {
	f := toRefusal(err)
	f.Close = true
	return f
}

func bodyRefusal(err error) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return closeAfterRefusal(newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than allowed"))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closeAfterRefusal(newRefusal(http.StatusRequestTimeout, "body_too_slow", "the body did not come in time").retryAfter(time.Millisecond))
	default:
		return closeAfterRefusal(newRefusal(http.StatusBadRequest, "body_incomplete", "the body ended before its end").retryAfter(time.Millisecond))
	}
}

// decodeJSON decodes exactly one JSON value.
func decodeJSON(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		var f *Refusal
		if errors.As(err, &f) {
			return f
		}
		return newRefusal(http.StatusBadRequest, "invalid_json", "the body is not the JSON that is expected: "+err.Error())
	}
	return nil
}
