package logclient

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func mustMarshal(t *testing.T, value any) string {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}

// Guards against taking part of the log's reply to an append for its success or refusal.
func TestAppendRepliesCutAtAnyByteAreUnknown(t *testing.T) {
	body := mustMarshal(t, map[string]uint64{"first": 17})
	testkit.CutResponses(t, "HTTP/1.1 200 OK\r\n", body, func(t *testing.T, s *testkit.CutServer, part string) {
		e := newEvents(t, 16)
		log := startLog(t, LogConfig{URL: "http://" + s.Address}, e)
		log.Append(newAppend(1, "a"))
		switch event := e.next().(type) {
		case structs.LogAppendFailed:
			if event.Refused {
				t.Errorf("%q is taken for a refusal", part)
			}
		default:
			t.Errorf("%q is taken for %+v", part, event)
		}
		log.Close()
	})
}

// Guards against taking part of the log's records for all of them.
func TestReadRepliesCutAtAnyByteAreNotTakenForWhole(t *testing.T) {
	body := mustMarshal(t, wire.ReadReply{Records: []wire.LogRecord{{Offset: 0, Data: []byte("a")}}, Next: 1, End: 1})
	testkit.CutResponses(t, "HTTP/1.1 200 OK\r\n", body, func(t *testing.T, s *testkit.CutServer, part string) {
		e := newEvents(t, 16)
		log := startLog(t, LogConfig{URL: "http://" + s.Address}, e)
		log.Tail(structs.LogTail{Stream: stream})
		if event, failed := e.next().(structs.LogReadFailed); !failed || event.Truncated {
			t.Errorf("%q is taken for %+v", part, event)
		}
		log.Close()
	})
}

// Guards against taking part of the membership list for the list.
func TestMemberListsCutAtAnyByteAreNotTakenForWhole(t *testing.T) {
	body := mustMarshal(t, wire.MemberList{Version: 3})
	testkit.CutResponses(t, "HTTP/1.1 200 OK\r\nETag: \"3\"\r\n", body, func(t *testing.T, s *testkit.CutServer, part string) {
		m := &Members{cfg: MembersConfig{URL: "http://" + s.Address}.withDefaults(), client: newClient()}
		if list, err := pollOnce(t.Context(), m); err == nil {
			t.Errorf("%q is taken for %+v", part, list)
		}
	})
}

// pollOnce reads the membership list once.
func pollOnce(ctx context.Context, m *Members) (wire.MemberList, error) {
	var list wire.MemberList
	_, err := getIfChanged(ctx, m.client, m.cfg.URL+wire.MembersRoute, maxMembersReplyBytes, "", &list)
	return list, err
}
