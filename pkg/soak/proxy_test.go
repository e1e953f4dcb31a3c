package soak_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"ironhollow/pkg/soak"
)

// Guards against a cut during which connections can be opened, or open ones are treated in another way.
func TestProxyCutModes(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	go echo(target)
	for _, c := range []struct {
		mode    soak.Mode
		isDial  func(error) bool
		isOnOld func(error) bool
	}{
		{soak.Hang, os.IsTimeout, os.IsTimeout},
		{soak.Refuse, isErr(syscall.ECONNREFUSED), isErr(nil)},
		{soak.Disconnect, isErr(syscall.ECONNREFUSED), isErr(syscall.ECONNRESET)},
	} {
		t.Run(c.mode.String(), func(t *testing.T) {
			t.Parallel()
			proxy, err := soak.NewProxyAt(freeAddress(t), target.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer proxy.Close()
			for range 2 {
				checkCutMode(t, proxy, c.mode, c.isDial, c.isOnOld)
			}
		})
	}
}

// freeAddress returns a free loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func checkCutMode(t *testing.T, proxy *soak.Proxy, mode soak.Mode, isDial, isOnOld func(error) bool) {
	t.Helper()
	open, err := net.Dial("tcp", proxy.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = open.Close() }()
	if err := exchange(open); err != nil {
		t.Fatalf("before the cut: %v", err)
	}
	if err := proxy.SetMode(mode); err != nil {
		t.Fatal(err)
	}
	if other, err := net.Listen("tcp", proxy.Address()); err == nil {
		t.Errorf("got another listener at %v during the cut, want the address kept", other.Addr())
		_ = other.Close()
	}
	if err := exchange(open); !isOnOld(err) {
		t.Errorf("open connection: got %v", err)
	}
	for range 5 {
		if c, err := net.DialTimeout("tcp", proxy.Address(), 300*time.Millisecond); !isDial(err) {
			t.Errorf("new connection: got %v, %v", c, err)
		}
	}
	if err := proxy.SetMode(soak.Pass); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		healed, err := net.DialTimeout("tcp", proxy.Address(), time.Second)
		if err != nil {
			t.Fatalf("after the cut: %v", err)
		}
		if err := exchange(healed); err != nil {
			t.Errorf("after the cut: %v", err)
		}
		_ = healed.Close()
	}
}

// isErr returns a function that reports whether an error wraps another one, or is nil if that is.
func isErr(want error) func(error) bool {
	return func(err error) bool { return errors.Is(err, want) }
}

// exchange sends a byte and waits for a response.
func exchange(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(500 * time.Millisecond))
	defer func() { _ = c.SetDeadline(time.Time{}) }()
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

// echo sends back what the connections of a listener receive.
func echo(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			buffer := make([]byte, 16)
			for n, err := c.Read(buffer); err == nil; n, err = c.Read(buffer) {
				_, _ = c.Write(buffer[:n])
			}
			_ = c.Close()
		}()
	}
}
