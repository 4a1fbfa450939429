package httpcall

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
	"unsafe"

	"github.com/gravitational/trace"
)

// errNotSent means that certainly no byte of the request was sent.
var errNotSent = errors.New("the connection was closed before the request was sent")

// conn is a connection on which requests and responses alternate. Write keeps the request. The Read that follows checks
// that the peer has not closed the connection, sends the request and waits for the response. Go's connections instead
// look for the response after sending, when it cannot be there yet, which takes as many system calls.
//
// Its methods must not be called concurrently.
type conn struct {
	*net.TCPConn
	raw syscall.RawConn
	// request is the request that the next Read sends. It is not empty after Read if no byte of it was sent.
	request []byte
	// usedAt is when the connection was established or its last response was complete.
	usedAt time.Time
	reused bool
	// incarnation is the incarnation of the server that has answered on the connection, or 0.
	incarnation int64

	// The following fields belong to the running Read; onReady is c.exchange.
	onReady func(fd uintptr) bool
	buffer  []byte
	n       int
	err     error
}

func newConn(tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &conn{TCPConn: tcp, raw: raw, usedAt: time.Now()}
	c.onReady = c.exchange
	return c, nil
}

// Write implements io.Writer. It never fails; Read returns the error of sending.
func (c *conn) Write(p []byte) (int, error) {
	c.request = append(c.request, p...)
	return len(p), nil
}

// Read implements io.Reader. If there is a request it is sent first. The error is errNotSent if certainly no byte of it
// was sent.
func (c *conn) Read(p []byte) (int, error) {
	c.buffer, c.n, c.err = p, 0, nil
	err := c.raw.Read(c.onReady)
	c.buffer = nil
	switch {
	case len(c.request) > 0:
		return 0, errNotSent
	case err != nil:
		return 0, err
	}
	return c.n, c.err
}

// exchange is called by Read, and again whenever the connection may be readable, until it returns true. A write that fails
// has sent nothing.
func (c *conn) exchange(fd uintptr) (done bool) {
	if len(c.request) == 0 {
		c.n, c.err = readNow(int(fd), c.buffer)
		return c.err != syscall.EAGAIN
	}
	if !c.silent(int(fd)) {
		return true
	}
	n, err := rawCall(syscall.SYS_WRITE, int(fd), c.request)
	if err != 0 && err != syscall.EAGAIN && err != syscall.EINTR {
		return true
	}
	rest := c.request[n:]
	c.request = c.request[:0]
	if len(rest) > 0 { // the socket's buffer is full
		_, c.err = c.TCPConn.Write(rest)
	}
	return c.err != nil
}

// silent reports whether the peer has neither sent anything nor closed the connection.
func (c *conn) silent(fd int) bool {
	_, err := readNow(fd, c.buffer[:1])
	return err == syscall.EAGAIN
}

// readNow reads what has arrived. The error is syscall.EAGAIN if nothing has, and io.EOF at the end of the stream.
func readNow(fd int, p []byte) (int, error) {
	for {
		n, err := rawCall(syscall.SYS_READ, fd, p)
		switch {
		case err == syscall.EINTR:
			continue
		case err != 0:
			return 0, err
		case n == 0 && len(p) > 0:
			return 0, io.EOF
		}
		return n, nil
	}
}

// rawCall reads or writes without telling Go's scheduler, which would otherwise wake its thread that watches system calls that
// block. It must only be used for sockets that do not block. n is 0 if the call fails.
func rawCall(number uintptr, fd int, p []byte) (n int, err syscall.Errno) {
	got, _, err := syscall.RawSyscall(number, uintptr(fd), uintptr(unsafe.Pointer(unsafe.SliceData(p))), uintptr(len(p)))
	if err != 0 {
		return 0, err
	}
	return int(got), 0
}
