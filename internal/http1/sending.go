package http1

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sending is the sending of a request, and so the judge of an answer that ends with its connection. The end of the bytes that a read
// finds does not tell whether such an answer is whole: the operating system reports an error of a connection to one call only, and a read
// finds an orderly end after a write has learned of a reset. A server that has not got the whole request may also have ended in the
// middle of its answer.
//
// The zero Sending is that of a request that the server has got.
type Sending struct {
	conn net.Conn
	done chan struct{} // Closed at the end of StartWriting; nil before.
	err  error         // Why the request was not written whole. In use by StartWriting until done is closed.
}

// NewSending returns the sending of a request on the connection, of which nothing is written yet.
func NewSending(conn net.Conn) *Sending { return &Sending{conn: conn} }

// Write writes a part of the request.
func (s *Sending) Write(p []byte) (int, error) {
	n, err := s.conn.Write(p)
	if s.err == nil {
		s.err = err
	}
	return n, err
}

// StartWriting writes the whole request in the background, which lasts until the write deadline of the connection at most.
func (s *Sending) StartWriting(request []byte) {
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		_, s.err = s.conn.Write(request)
	}()
}

// IsWritten reports whether the whole request has been written.
func (s *Sending) IsWritten() bool { return s.isOver() && s.err == nil }

// isCutByServer reports whether the server has ended the connection before the request was written whole.
func (s *Sending) isCutByServer() bool {
	return s.isOver() && (errors.Is(s.err, syscall.ECONNRESET) || errors.Is(s.err, syscall.EPIPE))
}

// errUnread means that a server has ended its answer and does not read the request.
var errUnread = errors.New("the server did not read the request")

const (
	// maxUnread is how long a server that has ended its answer may go without taking any more of its request.
	maxUnread     = time.Second
	maxAwait      = 5 * time.Second      // How long it may take for the rest of its request.
	awaitInterval = 2 * time.Millisecond // Between checks.
)

// await waits until the server's host has got the whole request. The error says why it has not. The end of a sound answer acknowledges its
// request, so there is nothing to wait for, unless the server ends its answer first and reads the request then.
func (s *Sending) await() error {
	if s.conn == nil {
		return nil
	}
	var last progress
	began := time.Now()
	for since := began; ; time.Sleep(awaitInterval) {
		isOver := s.isOver()
		if isOver && s.err != nil {
			return s.err
		}
		now, err := progressOf(s.conn)
		switch {
		case errors.Is(err, errUnknownProgress) && isOver:
			return nil
		case err != nil && !errors.Is(err, errUnknownProgress):
			return err
		case err == nil && isOver && now.unacknowledged == 0:
			return nil
		case time.Since(since) >= maxUnread, time.Since(began) >= maxAwait:
			return errUnread
		case now != last:
			last, since = now, time.Now()
		}
	}
}

// isOver reports whether nothing more is written.
func (s *Sending) isOver() bool {
	if s.done == nil {
		return true
	}
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// progress is what the server's host has of the bytes written on a connection.
type progress struct {
	unacknowledged int // Of the bytes that the operating system has taken.
	acknowledged   uint64
}

// errUnknownProgress is returned for connections that do not tell their progress.
var errUnknownProgress = errors.New("the progress of the connection is not known")

// progressOf returns the progress of the connection, or the error with which it has ended.
func progressOf(conn net.Conn) (p progress, err error) {
	raw := rawConn(conn)
	if raw == nil {
		return p, errUnknownProgress
	}
	var failure int
	closed := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			return
		}
		p.acknowledged = info.Bytes_acked
		if p.unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil || p.unacknowledged == 0 {
			return
		}
		failure, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	switch {
	case closed != nil:
		return p, closed
	case err != nil:
		return p, errUnknownProgress
	case failure != 0:
		return p, syscall.Errno(failure)
	}
	return p, nil
}

// rawConn returns the socket of the connection; nil if it has none.
func rawConn(conn net.Conn) syscall.RawConn {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapper.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
