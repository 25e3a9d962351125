package standin

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxBodyBytes is the maximum size of a request body that a stand-in accepts.
const MaxBodyBytes = 64 << 20

const contentTypeJSON = "application/json"

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Error string `json:"error"`
}

// WriteJSON writes a response with a status and value as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		slog.Error("encode reply", "error", err)
		http.Error(w, "encode reply", http.StatusInternalServerError)
		return
	}
	WriteBody(w, status, contentTypeJSON, body)
}

// WriteBody writes a response with a status and a body of the given content
// type. Write errors are ignored: they mean that the client has disconnected.
func WriteBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// WriteError writes a response with a status and an ErrorReply.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, ErrorReply{Error: message})
}

// ReadJSON decodes the request body into value. On error it responds with
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

// DropConnection aborts the request by closing its connection without a
// response. It does not return.
func DropConnection() {
	panic(http.ErrAbortHandler)
}

// QueryNumber returns a numeric query parameter, 0 if it is absent.
func QueryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	const decimal, bits = 10, 64
	number, err := strconv.ParseUint(text, decimal, bits)
	return number, errors.Wrapf(err, "query parameter %s", name)
}
