package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/banyanglade/banyanglade/platform"
)

// breakListener makes the listener at an address of this process fail.
func breakListener(t *testing.T, address string) {
	t.Helper()
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		var fd int
		if _, err := fmt.Sscan(file.Name(), &fd); err != nil {
			t.Fatal(err)
		}
		listens, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
		if err != nil || listens == 0 {
			continue // no socket, or a connection
		}
		local, err := syscall.Getsockname(fd)
		if err != nil {
			t.Fatal(err)
		}
		if l, ok := local.(*syscall.SockaddrInet4); ok && fmt.Sprintf("%s:%d", net.IP(l.Addr[:]), l.Port) == address {
			if err := syscall.Shutdown(fd, syscall.SHUT_RDWR); err != nil {
				t.Fatal(err)
			}
			return
		}
	}
	t.Fatalf("nothing listens at %s", address)
}

// An instance whose listener fails must not cut the requests that it has.
func TestFailedListenerDoesNotCutRequests(t *testing.T) {
	d := newDeployment(t)
	received, released := make(chan string), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	d.startApp(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Banyanglade-Request-Id")
		received <- id
		<-released
		rw.Header().Set("Banyanglade-Request-Id", id)
		rw.Header().Set("Banyanglade-Server-Signature", "s")
		_, _ = io.WriteString(rw, "whole") // the instance may have ended
	})
	t.Cleanup(release)
	i := d.start("a")
	i.mayFail.Store(true)
	eventually(t, "ready", i.ready)
	replies := make(chan reply, 1)
	go func() { replies <- i.send(t.Context(), "r1") }()
	awaitRequest(t, received)
	breakListener(t, i.machine.CallerAddress)
	eventually(t, "not ready", func() bool { return !i.ready() })
	release()
	if got := <-replies; got.err != nil || got.status != http.StatusOK || got.body != "whole" {
		t.Errorf("got status %d with body %q and error %v", got.status, got.body, got.err)
	}
	if err := <-i.done; err == nil {
		t.Error("the failure of the listener is not reported")
	}
}

// A hangup that comes while the settings file is read must not end the process.
func TestEarlyHangupDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, path)
	ended := make(chan error, 1)
	go func() { ended <- Run(t.Context(), Options{}, io.Discard) }()
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // waits for the reader
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(file, "no settings"); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil {
		t.Error("malformed settings are accepted")
	}
}
