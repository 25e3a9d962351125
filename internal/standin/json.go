package standin

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxBodyBytes bounds the body of a request to a stand-in.
const MaxBodyBytes = 64 << 20

const contentTypeJSON = "application/json"

// ErrorReply is the body of a refused request.
type ErrorReply struct {
	Error string `json:"error"`
}

// WriteJSON answers with status and value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		slog.Error("encode reply", "error", err)
		http.Error(w, "encode reply", http.StatusInternalServerError)
		return
	}
	WriteBody(w, status, contentTypeJSON, body)
}

// WriteBody answers with status and a body of the given content type. A write
// error means that the caller is gone, which the stand-ins ignore.
func WriteBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// WriteError answers with status and an ErrorReply.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, ErrorReply{Error: message})
}

// ReadJSON decodes the request's body into value. On an error it answers with
// status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body := http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	err := json.NewDecoder(body).Decode(value)
	if err == nil {
		return true
	}
	WriteError(w, http.StatusBadRequest, errors.Wrap(err, "decode body").Error())
	return false
}

// DropConnection ends the request by closing its connection without an answer.
// It does not return.
func DropConnection() {
	panic(http.ErrAbortHandler)
}

// QueryNumber returns a number of the request's query, 0 when it is absent.
func QueryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	const decimal, bits = 10, 64
	number, err := strconv.ParseUint(text, decimal, bits)
	return number, errors.Wrapf(err, "query parameter %s", name)
}
