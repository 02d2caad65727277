package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"hoptiller/internal/config"
	"hoptiller/internal/front"
	"hoptiller/internal/plan"
)

// listen opens the platform's listener and those of the operator's file.
func listen(c *config.Config, p *plan.Plan) (all []net.Listener, err error) {
	open := func(name string, l net.Listener, err error) error {
		if err != nil {
			return err
		}
		slog.Info("listening", "addr", l.Addr(), "name", name)
		all = append(all, l)
		return nil
	}
	var main net.Listener
	if c.SocketFD != "" {
		main, err = inherited(c.SocketFD)
	} else {
		main, err = listenTCP(c.Listen)
	}
	if err := open("main", main, err); err != nil {
		return nil, err
	}
	for _, l := range p.Listeners {
		more, err := listenTCP(l.Addr)
		if err := open(l.Name, more, err); err != nil {
			return nil, err
		}
	}
	return all, nil
}

const (
	listenPatience = 5 * time.Second       // for which the system may lack what a listener needs before the program gives up
	listenPause    = 10 * time.Millisecond // between two tries
)

// listenTCP opens a listener. A moment in which the system lacks what it needs for that does not end the program.
func listenTCP(addr string) (net.Listener, error) {
	return patiently(listenPatience, func() (net.Listener, error) { return net.Listen("tcp", addr) })
}

// patiently tries to open something until it does, fails for good, or has failed for want of resources for as long as may be.
func patiently[T any](patience time.Duration, open func() (T, error)) (T, error) {
	late := time.Now().Add(patience)
	for {
		opened, err := open()
		if err == nil || !lacksResources(err) || time.Now().After(late) {
			return opened, err
		}
		slog.Warn("the system lacks resources for a moment", "err", err)
		time.Sleep(listenPause)
	}
}

// lacksResources tells whether a system call failed for want of what the system may have again in a moment.
func lacksResources(err error) bool {
	for _, transient := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// acceptTime is how long an accept may block, where others have made the socket so.
const acceptTime = 100 * time.Millisecond

// inherited gives the listener that the platform holds and this process was started with.
func inherited(number string) (net.Listener, error) {
	bad := func(why string) error { return fmt.Errorf("RELAY_SOCKET_FD %q %s", number, why) }
	fd, err := strconv.ParseUint(number, 10, 16)
	if err != nil {
		return nil, bad("is no number of a descriptor")
	}
	if on, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, bad("is no listening socket")
	}
	// Who holds the socket too may make it blocking again at any time, as some do to pass it on; an accept that finds
	// nothing then, since the other process took it, must not keep this one from ending.
	atMost := syscall.NsecToTimeval(int64(acceptTime))
	if err := syscall.SetsockoptTimeval(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &atMost); err != nil {
		return nil, bad("can't be used: " + err.Error())
	}
	f := os.NewFile(uintptr(fd), "RELAY_SOCKET_FD")
	defer f.Close() // the listener has its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, bad("can't be listened on: " + err.Error())
	}
	shared, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, bad("is no TCP socket")
	}
	return front.SharedListener{TCPListener: shared}, nil
}

// listenAdmin opens the listener for operators, where there is an address for it.
func listenAdmin(c *config.Config) (net.Listener, error) {
	if c.Admin == "" {
		return nil, nil
	}
	l, err := listenTCP(c.Admin)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) {
			err = op.Err
		}
		return nil, fmt.Errorf("admin (RELAY_ADMIN) %q can't be listened on: %w", c.Admin, err)
	}
	slog.Info("listening for operators", "addr", l.Addr())
	return l, nil
}
