package metastore

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// httpPageRecords is the number of records of a page of newest records.
const httpPageRecords = 500

// Fault is a fault that applies to calls.
type Fault struct {
	// Status is the HTTP status with which calls are refused without effect,
	// 429 or 503; 0 for none.
	Status int
	// Unresponsive makes calls hang without effect.
	Unresponsive bool
	// Reset cuts the connections of calls without effect.
	Reset bool
	// DropResponse executes writes but cuts the connection instead of
	// responding.
	DropResponse bool
	// ApplyDelay is the delay before a write with DropResponse takes effect.
	ApplyDelay time.Duration
	// Delay is added to the duration of each call.
	Delay time.Duration
	// AppendTime is the duration of each append, of which a partition runs one
	// at a time. Appends that would wait longer than maxAppendWait are refused.
	// Only Memory applies it.
	AppendTime time.Duration
	// Topics restricts the fault to calls on these topics; nil for all calls.
	// Only Service applies it.
	Topics []string
	// Partitions restricts the fault to calls on these partitions; nil for all.
	// Only Memory applies it.
	Partitions []int
}

// Service is a running stand-in that serves HTTP.
type Service struct {
	log    *log
	groups *groups
	server *httptest.Server

	mu            sync.Mutex
	fault         Fault
	calls         map[string]int
	delayedWrites sync.WaitGroup
}

// Start starts a stand-in on a free loopback port.
func Start() *Service {
	s := &Service{log: newLog(), groups: newGroups(), calls: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /banyanglade/log-append", s.handle("append", true, s.append))
	mux.HandleFunc("GET /banyanglade/log-read", s.handle("read", false, s.read))
	mux.HandleFunc("GET /banyanglade/log-newest", s.handle("newest", false, s.newest))
	mux.HandleFunc("POST /banyanglade/log-trim", s.handle("trim", true, s.trim))
	mux.HandleFunc("POST /banyanglade/log-join", s.handle("join", true, s.join))
	mux.HandleFunc("POST /banyanglade/log-leave", s.handle("leave", true, s.leave))
	mux.HandleFunc("POST /banyanglade/log-commit", s.handle("commit", true, s.commit))
	mux.HandleFunc("GET /banyanglade/log-owners", s.handle("owners", false, s.owners))
	s.server = httptest.NewServer(mux)
	return s
}

// Address returns the listen address, IP:port.
func (s *Service) Address() string { return s.server.Listener.Addr().String() }

// Close stops the stand-in and waits for its delayed writes.
func (s *Service) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
	s.delayedWrites.Wait()
}

// Set replaces the fault. Faults that affect connections also close the open
// ones.
func (s *Service) Set(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	if f.Reset || f.Unresponsive {
		s.server.CloseClientConnections()
	}
}

// Calls returns the number of calls of a kind so far, including refused ones.
func (s *Service) Calls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// Records returns the number of keys with a record in all partitions of a
// topic.
func (s *Service) Records(topic string) int {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	n := 0
	for id, p := range s.log.partitions {
		if id.topic == topic {
			n += len(p.newest)
		}
	}
	return n
}

// Put writes a record to the first partition of a topic, as an operator or
// target would.
func (s *Service) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.log.append(appendRequest{id: partitionID{topic, 0}, records: [][]byte{append(record, value...)}})
}

// DropHistory drops all records of a partition except the newest of each key.
func (s *Service) DropHistory(topic string, part int) {
	s.log.trim(partitionID{topic, part}, 1<<62)
}

// Rebalance allocates the partitions of all groups to other members.
func (s *Service) Rebalance() { s.groups.rebalance() }

// response is a status with a body.
type response struct {
	status      int
	contentType string
	body        []byte
}

func jsonResponse(status int, v any) response {
	body, err := json.Marshal(v)
	if err != nil {
		return response{status: http.StatusInternalServerError}
	}
	return response{status, "application/json", body}
}

func (s *Service) handle(kind string, writes bool, serve func(*http.Request, []byte) response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the caller has disconnected
		}
		f := s.faultFor(kind, r)
		time.Sleep(f.Delay)
		switch {
		case f.Unresponsive:
			<-r.Context().Done()
			return
		case f.Reset:
			panic(http.ErrAbortHandler)
		case f.Status != 0:
			w.WriteHeader(f.Status)
			return
		case writes && f.DropResponse:
			s.dropResponse(f, r, body, serve)
			panic(http.ErrAbortHandler)
		}
		response := serve(r, body)
		if response.contentType != "" {
			w.Header().Set("Content-Type", response.contentType)
		}
		w.WriteHeader(response.status)
		_, _ = w.Write(response.body) // fails only if the caller has disconnected
	}
}

func (s *Service) faultFor(kind string, r *http.Request) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	if s.fault.Topics != nil && !slices.Contains(s.fault.Topics, r.URL.Query().Get("Topic")) {
		return Fault{}
	}
	return s.fault
}

// dropResponse executes a write whose response is dropped, after ApplyDelay.
func (s *Service) dropResponse(f Fault, r *http.Request, body []byte, serve func(*http.Request, []byte) response) {
	if f.ApplyDelay == 0 {
		serve(r, body)
		return
	}
	s.delayedWrites.Go(func() {
		time.Sleep(f.ApplyDelay)
		serve(r, body)
	})
}

func partitionOf(r *http.Request) (partitionID, bool) {
	part, err := strconv.Atoi(r.URL.Query().Get("part"))
	topic := r.URL.Query().Get("Topic")
	return partitionID{topic, part}, err == nil && part >= 0 && topic != ""
}

// number returns a numeric query parameter, nil if it is absent or malformed.
func number(r *http.Request, name string) *int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return nil
	}
	return &n
}

func (s *Service) append(r *http.Request, body []byte) response {
	id, ok := partitionOf(r)
	records, whole := splitRecords(body)
	if !ok || !whole {
		return response{status: http.StatusBadRequest}
	}
	request := appendRequest{
		id: id, records: records, expectedEnd: number(r, "At"),
		writer: r.URL.Query().Get("Producer"), sequence: number(r, "Sequence"),
	}
	if epoch := number(r, "epoch"); epoch != nil {
		request.epoch = *epoch
	}
	result := s.log.append(request)
	switch {
	case result.reason == "seq":
		return jsonResponse(result.status, map[string]any{"why": "seq", "expected": result.expected})
	case result.reason != "":
		return jsonResponse(result.status, map[string]any{"why": result.reason})
	}
	return jsonResponse(result.status, map[string]int64{"Offset": result.offset, "End": result.end})
}

func (s *Service) read(r *http.Request, _ []byte) response {
	id, ok := partitionOf(r)
	from := number(r, "From")
	if !ok || from == nil {
		return response{status: http.StatusBadRequest}
	}
	var wait time.Duration
	if ms := number(r, "WaitMs"); ms != nil {
		wait = time.Duration(*ms) * time.Millisecond
	}
	end, first, records, retained := s.log.read(id, *from, wait, r.Context().Done())
	if !retained {
		return jsonResponse(http.StatusGone, map[string]int64{"First": first})
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	for _, record := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return response{http.StatusOK, "application/octet-stream", body}
}

func (s *Service) newest(r *http.Request, _ []byte) response {
	id, ok := partitionOf(r)
	if !ok {
		return response{status: http.StatusBadRequest}
	}
	type record struct {
		Key    string
		Value  []byte
		Offset int64
	}
	page := struct {
		Items   []record `json:"items"`
		HasMore bool
		End     int64
	}{Items: []record{}}
	keys, items, end := s.log.newestOf(id)
	page.End = end
	after := r.URL.Query().Get("after")
	for _, key := range keys {
		if key <= after {
			continue
		}
		if len(page.Items) == httpPageRecords {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, record{key, items[key].value, items[key].offset})
	}
	return jsonResponse(http.StatusOK, page)
}

func (s *Service) trim(r *http.Request, _ []byte) response {
	id, ok := partitionOf(r)
	before := number(r, "Before")
	if !ok || before == nil {
		return response{status: http.StatusBadRequest}
	}
	s.log.trim(id, *before)
	return jsonResponse(http.StatusOK, struct{}{})
}
