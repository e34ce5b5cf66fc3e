package testfleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/httpclient"
)

// Network is the connection of one entry instance to its peers and the platform.
// It can be cut, and it counts the bytes that it carries between instances.
type Network struct {
	*httpclient.Client

	cut      atomic.Bool
	sent     atomic.Int64
	received atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newNetwork(platformURL string) *Network {
	return &Network{Client: httpclient.New(platformURL), conns: make(map[net.Conn]struct{})}
}

// PartitionError reports a call over a cut network.
type PartitionError struct{}

func (e *PartitionError) Error() string { return "the network is cut" }

// Partition breaks all connections to peers and the platform until Heal.
func (n *Network) Partition() {
	n.cut.Store(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		conn.Close()
	}
}

// Heal lets new connections through.
func (n *Network) Heal() { n.cut.Store(false) }

// PeerBytes returns the bytes between this instance and its peers, of both
// directions.
func (n *Network) PeerBytes() (sent, received int64) { return n.sent.Load(), n.received.Load() }

func (n *Network) dial(ctx context.Context, address string) (net.Conn, error) {
	if n.cut.Load() {
		return nil, &PartitionError{}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return n.track(conn), nil
}

func (n *Network) wrap(l net.Listener) net.Listener { return &countedListener{Listener: l, network: n} }

func (n *Network) track(conn net.Conn) net.Conn {
	counted := &countedConn{Conn: conn, network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[counted] = struct{}{}
	return counted
}

func (n *Network) untrack(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

type countedListener struct {
	net.Listener
	network *Network
}

// Accept implements net.Listener. Connections over a cut network are closed.
func (l *countedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.network.cut.Load() {
			return l.network.track(conn), nil
		}
		conn.Close()
	}
}

type countedConn struct {
	net.Conn
	network *Network
	closed  sync.Once
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.sent.Add(int64(n))
	return n, err
}

func (c *countedConn) Close() error {
	// Cut closes while it holds the lock that untrack takes.
	c.closed.Do(func() { go c.network.untrack(c) })
	return c.Conn.Close()
}

// The methods below stand between the instance and the platform.

func (n *Network) unavailable(op string) error {
	if !n.cut.Load() {
		return nil
	}
	return &tablestore.UnavailableError{Op: op, Err: &PartitionError{}}
}

// Read implements tablestore.Table.
func (n *Network) Read(ctx context.Context, key string) (tablestore.Row, error) {
	if err := n.unavailable("read"); err != nil {
		return tablestore.Row{}, err
	}
	return n.Client.Read(ctx, key)
}

// Scan implements tablestore.Table.
func (n *Network) Scan(ctx context.Context, prefix string, limit int, after string) ([]tablestore.Row, error) {
	if err := n.unavailable("scan"); err != nil {
		return nil, err
	}
	return n.Client.Scan(ctx, prefix, limit, after)
}

// Transact implements tablestore.Table.
func (n *Network) Transact(ctx context.Context, changeID string, writes []tablestore.Write) (tablestore.TransactResult, error) {
	if err := n.unavailable("transact"); err != nil {
		return tablestore.TransactResult{}, err
	}
	return n.Client.Transact(ctx, changeID, writes)
}

// Put implements tablestore.ObjectStore.
func (n *Network) Put(ctx context.Context, name string, data []byte) error {
	if err := n.unavailable("put"); err != nil {
		return err
	}
	return n.Client.Put(ctx, name, data)
}

// Get implements tablestore.ObjectStore.
func (n *Network) Get(ctx context.Context, name string) ([]byte, error) {
	if err := n.unavailable("get"); err != nil {
		return nil, err
	}
	return n.Client.Get(ctx, name)
}

// List implements tablestore.InstanceLister.
func (n *Network) List(ctx context.Context) (tablestore.Listing, error) {
	if err := n.unavailable("list"); err != nil {
		return tablestore.Listing{}, err
	}
	return n.Client.List(ctx)
}
