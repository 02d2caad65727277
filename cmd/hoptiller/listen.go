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

// openListeners opens the platform's listener and those that the operator's file names.
func openListeners(c *config.Config, p *plan.Plan) (all []net.Listener, err error) {
	open := func(name string, l net.Listener, err error) error {
		if err != nil {
			return err
		}
		slog.Info("listening", "addr", l.Addr(), "name", name)
		all = append(all, l)
		return nil
	}
	var primary net.Listener
	if c.SocketFD != "" {
		primary, err = inheritedListener(c.SocketFD)
	} else {
		primary, err = listenTCP(c.Listen)
	}
	if err := open("main", primary, err); err != nil {
		return nil, err
	}
	for _, l := range p.Listeners {
		additional, err := listenTCP(l.Addr)
		if err := open(l.Name, additional, err); err != nil {
			return nil, err
		}
	}
	return all, nil
}

const (
	// listenRetryTime is how long the system may lack resources for a listener before the program gives up.
	listenRetryTime     = 5 * time.Second
	listenRetryInterval = 10 * time.Millisecond // between two attempts
)

// listenTCP opens a TCP listener. It waits if the system lacks the resources for a moment.
func listenTCP(addr string) (net.Listener, error) {
	return openWithRetries(listenRetryTime, func() (net.Listener, error) { return net.Listen("tcp", addr) })
}

// openWithRetries calls open until it succeeds, fails for another reason than a lack of resources, or retryTime is over.
func openWithRetries[T any](retryTime time.Duration, open func() (T, error)) (T, error) {
	deadline := time.Now().Add(retryTime)
	for {
		opened, err := open()
		if err == nil || !lacksResources(err) || time.Now().After(deadline) {
			return opened, err
		}
		slog.Warn("the system lacks resources, retrying", "err", err)
		time.Sleep(listenRetryInterval)
	}
}

// lacksResources reports whether a system call failed for lack of a resource that may soon be available again.
func lacksResources(err error) bool {
	for _, transient := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// maxAcceptBlock is how long an accept call may block on a socket that another process has made blocking.
const maxAcceptBlock = 100 * time.Millisecond

// inheritedListener returns the listener of the platform's socket, whose descriptor this process inherited.
func inheritedListener(number string) (net.Listener, error) {
	socketError := func(why string) error { return fmt.Errorf("RELAY_SOCKET_FD %q %s", number, why) }
	fd, err := strconv.ParseUint(number, 10, 16)
	if err != nil {
		return nil, socketError("is no number of a descriptor")
	}
	if on, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, socketError("is no listening socket")
	}
	// Another process that shares the socket may make it blocking again at any time, for example to pass it on. An accept
	// call then blocks if the other process took the connection. The limit lets this process end nevertheless.
	blockLimit := syscall.NsecToTimeval(int64(maxAcceptBlock))
	if err := syscall.SetsockoptTimeval(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &blockLimit); err != nil {
		return nil, socketError("can't be used: " + err.Error())
	}
	f := os.NewFile(uintptr(fd), "RELAY_SOCKET_FD")
	defer f.Close() // the listener uses a duplicate of the descriptor
	l, err := net.FileListener(f)
	if err != nil {
		return nil, socketError("can't be listened on: " + err.Error())
	}
	shared, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, socketError("is no TCP socket")
	}
	return front.SharedListener{TCPListener: shared}, nil
}

// listenAdmin opens the listener for operators, or returns nil if no address is configured.
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
