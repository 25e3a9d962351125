package netopt

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A write to a peer that does not read fails even though the connection stays
// open.
func TestWriteToAnUnresponsivePeerEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := NewDialer(time.Second, 100*time.Millisecond).Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	buffer := make([]byte, 1<<20)
	for {
		if _, err := conn.Write(buffer); err != nil {
			return // without the timeout the write would block forever
		}
	}
}

func TestIdleConnectionsAreProbed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := NewDialer(time.Second, time.Second).Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		for option, want := range map[int]int{
			unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: probeCount, unix.TCP_USER_TIMEOUT: 1000,
		} {
			if got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option); err != nil || got != want {
				t.Errorf("option %d is %d, %v; want %d", option, got, err, want)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
