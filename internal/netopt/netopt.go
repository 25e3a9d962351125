// Package netopt provides dialers whose connections are closed soon after the
// peer has become unresponsive, for example after a network partition or power
// loss.
package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Idle connections are probed at the finest resolution that the kernel
	// supports, so that one to an unresponsive peer fails two seconds after the
	// last byte.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 1
)

// NewDialer returns a dialer with a timeout for establishing a connection. Its
// connections fail if sent bytes are not acknowledged within userTimeout.
func NewDialer(timeout, userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, userTimeout) },
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, the time after which the kernel closes a
// connection with unacknowledged bytes.
func setUserTimeout(raw syscall.RawConn, userTimeout time.Duration) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
