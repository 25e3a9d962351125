// Package netopt makes dialers whose connections end soon after their other end
// has gone silent, as it does behind a cut link, without power, or where
// something on the way has dropped the connection and tells nobody.
package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle and probeInterval are when a connection that waits for an
	// answer is probed, whole seconds being the finest that the kernel takes:
	// a silent one ends two seconds after the last byte.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 1
)

// NewDialer makes a dialer with a timeout for the set-up of a connection. Its
// connections end once bytes were sent and not acknowledged for the time unacked.
func NewDialer(timeout, unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return boundUnacked(raw, unacked) },
	}
}

// boundUnacked sets the time after which the kernel gives a connection up whose
// bytes are not acknowledged.
func boundUnacked(raw syscall.RawConn, unacked time.Duration) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
