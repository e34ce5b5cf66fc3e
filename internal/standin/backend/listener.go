package backend

import (
	"net"
	"sync"
	"time"
)

// slowListener delays the first read of each connection, to simulate a slow connect.
// Accept itself cannot be delayed: the kernel completes connections without the process.
type slowListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.delay == 0 {
		return conn, err
	}
	return &slowConn{Conn: conn, delay: l.delay}, nil
}

type slowConn struct {
	net.Conn
	delay time.Duration
	once  sync.Once
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(p)
}
