package members

import (
	"net/http"
	"strconv"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	memberRoute  = wire.StandinMemberRoute + "/{id}"
	leavingRoute = memberRoute + "/leaving"
)

// Handler returns the HTTP handler of the list. In addition to the routes of
// package wire it serves POST /standin/members/{id}/leaving, which marks a
// member as leaving.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.MembersRoute, l.serveList)
	mux.HandleFunc("PUT "+memberRoute, l.servePut)
	mux.HandleFunc("DELETE "+memberRoute, l.serveRemove)
	mux.HandleFunc("POST "+leavingRoute, l.serveLeaving)
	mux.HandleFunc("GET "+wire.StandinFaultsRoute, l.serveFaults)
	mux.HandleFunc("POST "+wire.StandinFaultsRoute, l.serveSetFaults)
	return mux
}

func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	visible, err := l.Visible()
	if err != nil {
		standin.WriteError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	tag := `"` + strconv.FormatUint(visible.Version, 10) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	standin.WriteJSON(w, http.StatusOK, visible)
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var member wire.Member
	if !standin.ReadJSON(w, r, &member) {
		return
	}
	id := r.PathValue("id")
	if member.ID != "" && member.ID != id {
		standin.WriteError(w, http.StatusBadRequest, "the id of the body differs from that of the path")
		return
	}
	member.ID = id
	if member.State == "" {
		member.State = wire.MemberStateLive
	}
	l.Put(member)
	standin.WriteJSON(w, http.StatusOK, member)
}

func (l *List) serveRemove(w http.ResponseWriter, r *http.Request) {
	l.Remove(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveLeaving(w http.ResponseWriter, r *http.Request) {
	if !l.SetLeaving(r.PathValue("id")) {
		standin.WriteError(w, http.StatusNotFound, "no such member")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveFaults(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, l.Faults())
}

func (l *List) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults wire.MemberFaults
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	l.SetFaults(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}
