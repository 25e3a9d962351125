package httpapi

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/oklog/ulid/v2"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func chatBodyWithFields(fields string) string {
	return `{"model":"model","messages":[{"role":"user","content":"x"}],` + fields + `}`
}

func chatBodyWithMessages(list string) string {
	return `{"model":"model","messages":` + list + `}`
}

func TestMalformedChatRequests(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.MaxBody = 1 << 20 })
	invalid := map[string]string{
		"empty":                 "",
		"not JSON":              "hello",
		"cut":                   chatBody[:len(chatBody)-1],
		"list":                  "[]",
		"null":                  "null",
		"two values":            chatBody + "{}",
		"not UTF-8":             strings.Replace(chatBody, "hello", "\xff\xfe", 1),
		"repeated field":        chatBodyWithFields(`"max_tokens":1,"max_tokens":9`),
		"other case":            chatBodyWithFields(`"Max_Tokens":9`),
		"too many fields":       chatBodyWithFields(strings.Repeat(`"a":1,`, 1) + manyFields(maxFields+1)),
		"model a number":        `{"model":5,"messages":[{"role":"user"}]}`,
		"stream a string":       chatBodyWithFields(`"stream":"true"`),
		"max_tokens zero":       chatBodyWithFields(`"max_tokens":0`),
		"max_tokens negative":   chatBodyWithFields(`"max_tokens":-1`),
		"max_tokens a fraction": chatBodyWithFields(`"max_tokens":1.5`),
		"max_tokens huge":       chatBodyWithFields(`"max_tokens":99999999999999999999`),
		"two choices":           chatBodyWithFields(`"n":2`),
		"no messages":           `{"model":"model"}`,
		"messages empty":        chatBodyWithMessages("[]"),
		"messages an object":    chatBodyWithMessages("{}"),
		"message null":          chatBodyWithMessages("[null]"),
		"message a string":      chatBodyWithMessages(`["x"]`),
		"role missing":          chatBodyWithMessages(`[{"content":"x"}]`),
		"role with a newline":   chatBodyWithMessages(`[{"role":"a\nb"}]`),
		"content a number":      chatBodyWithMessages(`[{"role":"user","content":5}]`),
		"content an image":      chatBodyWithMessages(`[{"role":"user","content":[{"type":"image_url"}]}]`),
		"tool calls an object":  chatBodyWithMessages(`[{"role":"assistant","tool_calls":{}}]`),
		"too many messages":     chatBodyWithMessages("[" + strings.Repeat(`{"role":"a"},`, maxMessages) + `{"role":"a"}]`),
		"deep":                  chatBodyWithMessages(strings.Repeat("[", 20_000)),
	}
	for name, body := range invalid {
		t.Run(name, func(t *testing.T) {
			response, text := f.do(http.MethodPost, chatRoute, body)
			checkProblem(t, response, text, structs.ReasonInvalid, http.StatusBadRequest, outcomeNotRun)
		})
	}
	f.noEvents()
}

func manyFields(count int) string {
	fields := make([]string, 0, count)
	for i := range count {
		fields = append(fields, `"f`+strings.Repeat("x", i)+`":1`)
	}
	return strings.Join(fields, ",")
}

func TestServicesOfCalls(t *testing.T) {
	f := newFixture(t, nil)
	cases := []struct {
		method, path, body, service string
		reason                      structs.Reason
		status                      int
	}{
		{"POST", chatRoute, strings.Replace(chatBody, "model", "nothing", 1), "", structs.ReasonUnknownService, 404},
		{"POST", chatRoute, strings.Replace(chatBody, "model", "", 1), "", structs.ReasonUnknownService, 404},
		{"POST", chatRoute, chatBody, "filing", structs.ReasonInvalid, 400},
		{"GET", "/v1/services/nothing/x", "", "", structs.ReasonUnknownService, 404},
		{"GET", "/v1/services/model/v1/orders", "", "", structs.ReasonInvalid, 400},
		{"GET", "/v1/services/filing/x", "", "payments", structs.ReasonInvalid, 400},
		{"GET", "/v1/services/filing/../../settings", "", "", structs.ReasonInvalid, 400},
		{"GET", "/v1/services/filing/%2e%2e/x", "", "", structs.ReasonInvalid, 400},
		{"GET", "/v1/services/filing/a%2f..%2fx", "", "", structs.ReasonInvalid, 400},
		{"GET", "/v1/services/filing/a%5c..%5cx", "", "", structs.ReasonInvalid, 400},
		{"GET", "/v1/services/filing//elsewhere/x", "", "", structs.ReasonInvalid, 400},
		{"GET", "/v1/services/filing%20x/x", "", "", structs.ReasonInvalid, 400},
		{"GET", "/v1/services/filing/" + strings.Repeat("x", maxPathLength), "", "", structs.ReasonInvalid, 400},
		{"GET", "/v1/services/filing", "", "", ReasonNotFound, 404},
		{"GET", "/v2/nothing", "", "", ReasonNotFound, 404},
		{"GET", chatRoute, "", "", ReasonMethodNotAllowed, 405},
	}
	for _, c := range cases {
		response, body := f.do(c.method, c.path, c.body, HeaderService, c.service)
		checkProblem(t, response, body, c.reason, c.status, outcomeNotRun)
	}
	f.noEvents()
}

func TestMalformedHeaders(t *testing.T) {
	f := newFixture(t, nil)
	program := string(newProgramID(testRegion, f.api.config.Now()))
	cases := [][]string{
		{HeaderProgram, "nothing"}, {HeaderProgram, strings.ToUpper(program)}, {HeaderProgram, program + "0"},
		{HeaderIdempotencyKey, "request/1"}, {HeaderLane, "sub"}, {HeaderCall, "1"}, {HeaderFork, "true"},
		{HeaderProgram, program, HeaderCall, "0"}, {HeaderProgram, program, HeaderCall, "-1"},
		{HeaderProgram, program, HeaderCall, "1.0"}, {HeaderProgram, program, HeaderCall, "99999999999999999999"},
		{HeaderProgram, program, HeaderLane, "a b"}, {HeaderProgram, program, HeaderLane, strings.Repeat("l", maxLaneLength+1)},
		{HeaderNotRepeatable, "True"}, {HeaderNotRepeatable, "1"}, {HeaderFork, "yes"},
		{HeaderFee, "-1"}, {HeaderFee, "1e3"}, {HeaderDeadline, "0"}, {HeaderDeadline, "soon"},
		{HeaderIdempotencyKey, strings.Repeat("k", maxKeyLength+1)}, {HeaderIdempotencyKey, "schl\u00fcssel"},
		{"Banyanglade-Not-Repeateable", "true"}, {HeaderOutcome, "answered"},
	}
	for _, headers := range cases {
		response, body := f.do(http.MethodPost, chatRoute, chatBody, headers...)
		checkProblem(t, response, body, structs.ReasonInvalid, http.StatusBadRequest, outcomeNotRun)
	}
	for _, name := range []string{HeaderIdempotencyKey, "Authorization", HeaderNotRepeatable, "Content-Type"} {
		request := f.request(http.MethodPost, chatRoute, chatBody)
		request.Header[name] = []string{"a", "b"}
		response, body := f.send(request)
		checkProblem(t, response, body, structs.ReasonInvalid, http.StatusBadRequest, outcomeNotRun)
	}
	f.noEvents()
}

func TestContentTypes(t *testing.T) {
	f := newFixture(t, nil)
	f.replyWith(answered)
	for contentType, status := range map[string]int{
		"": 200, "application/json": 200, "Application/JSON; charset=utf-8": 200,
		"text/plain": 415, "application/json;;": 415, "multipart/form-data": 415,
	} {
		response, _ := f.do(http.MethodPost, chatRoute, chatBody, "Content-Type", contentType)
		if response.StatusCode != status {
			t.Errorf("%q: status %d, want %d", contentType, response.StatusCode, status)
		}
	}
}

func TestTooLarge(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.MaxBody = 1000 })
	f.replyWith(structs.Outcome{Kind: structs.OutcomeAnswered, Status: 200})
	for _, size := range []int{1001, 100_000} {
		for _, declared := range []int64{int64(size), -1} {
			request := f.request(http.MethodPost, "/v1/services/filing/", "")
			request.Body, request.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), declared
			response, body := f.send(request)
			checkProblem(t, response, body, structs.ReasonTooLarge, http.StatusRequestEntityTooLarge, outcomeNotRun)
		}
	}
	f.noEvents()
	response, _ := f.do(http.MethodPost, "/v1/services/filing/", strings.Repeat("x", 1000))
	if response.StatusCode != http.StatusOK {
		t.Errorf("body of the maximum size: status %d", response.StatusCode)
	}
}

func TestSmuggledHeaders(t *testing.T) {
	f := newFixture(t, nil)
	const start = "POST /v1/services/filing/ HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerKey + "\r\n"
	for name, headers := range map[string]string{
		"two lengths":       "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"length not number": "Content-Length: 1a\r\n\r\na",
		"two encodings":     "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"unknown encoding":  "Transfer-Encoding: gzip\r\n\r\n",
		"space before name": " Content-Length: 1\r\n\r\na",
		"control character": "Idempotency-Key: a\x00b\r\n\r\n",
		"space in name":     "Content-Length : 1\r\n\r\na",
		"bad chunk":         "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"cut chunk line":    "Transfer-Encoding: chunked\r\n\r\n5\r\nabcdeX\r\n",
	} {
		if status := f.sendRaw(start + headers).StatusCode; status < 400 || status > 501 {
			t.Errorf("%s: status %d", name, status)
		}
	}
	f.noEvents()
}

func TestKeyedSingleCalls(t *testing.T) {
	f, other := newFixture(t, nil), newFixture(t, func(c *Config) { c.Instance = "erie-1" })
	f.replyWith(answered)
	other.replyWith(answered)
	dated := ulid.Make().String()
	_, _ = f.do(http.MethodPost, chatRoute, chatBody, HeaderIdempotencyKey, dated, HeaderNotRepeatable, "true")
	_, _ = other.do(http.MethodPost, chatRoute, chatBody, HeaderIdempotencyKey, dated, HeaderNotRepeatable, "true")
	one, two := f.submitted().Call, other.submitted().Call
	if one.Program != two.Program || one.Key != dated || one.Digest != two.Digest || !one.Single {
		t.Errorf("retry at another instance differs: %+v, %+v", one, two)
	}
	response, body := f.do(http.MethodPost, chatRoute, chatBody, HeaderIdempotencyKey, "any", HeaderNotRepeatable, "true")
	checkProblem(t, response, body, structs.ReasonInvalid, http.StatusBadRequest, outcomeNotRun)
	response, body = f.do(http.MethodPost, "/v1/services/payments/fee", "{}", HeaderIdempotencyKey, "any")
	checkProblem(t, response, body, structs.ReasonInvalid, http.StatusBadRequest, outcomeNotRun)
	f.noEvents()
	if response, _ = f.do(http.MethodPost, chatRoute, chatBody, HeaderIdempotencyKey, "any"); response.StatusCode != http.StatusOK {
		t.Errorf("undated key of a repeatable call: status %d", response.StatusCode)
	}
}
