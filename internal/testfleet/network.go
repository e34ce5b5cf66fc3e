package testfleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/httpclient"
)

// Network carries the traffic of one entry instance with its peers and the platform. It
// can simulate a network partition, and it counts the bytes exchanged with peers.
type Network struct {
	*httpclient.Client

	partitioned   atomic.Bool
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newNetwork(platformURL string) *Network {
	return &Network{Client: httpclient.New(platformURL), conns: make(map[net.Conn]struct{})}
}

// PartitionError reports a connection or platform call that a simulated partition blocked.
type PartitionError struct{}

func (e *PartitionError) Error() string { return "the network is cut" }

// Partition simulates a partition until Heal is called: it closes all connections with peers,
// blocks new ones and fails every new platform call.
func (n *Network) Partition() {
	n.partitioned.Store(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		conn.Close()
	}
}

// Heal ends the simulated partition. Connections that Partition closed stay closed.
func (n *Network) Heal() { n.partitioned.Store(false) }

// PeerBytes returns the bytes that the instance has sent to and received from its peers.
func (n *Network) PeerBytes() (sent, received int64) {
	return n.sentBytes.Load(), n.receivedBytes.Load()
}

func (n *Network) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	if n.partitioned.Load() {
		return nil, &PartitionError{}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return n.track(conn), nil
}

func (n *Network) wrapPeerListener(l net.Listener) net.Listener {
	return &trackedListener{Listener: l, network: n}
}

// track wraps conn to count its bytes and registers it to be closed by Partition.
func (n *Network) track(conn net.Conn) net.Conn {
	tracked := &trackedConn{Conn: conn, network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[tracked] = struct{}{}
	return tracked
}

func (n *Network) untrack(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

type trackedListener struct {
	net.Listener
	network *Network
}

// Accept implements net.Listener. It closes connections that arrive during a partition.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.network.partitioned.Load() {
			return l.network.track(conn), nil
		}
		conn.Close()
	}
}

type trackedConn struct {
	net.Conn
	network   *Network
	closeOnce sync.Once
}

func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.receivedBytes.Add(int64(n))
	return n, err
}

func (c *trackedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.sentBytes.Add(int64(n))
	return n, err
}

func (c *trackedConn) Close() error {
	// untrack needs n.mu, which Partition holds while it closes connections.
	c.closeOnce.Do(func() { go c.network.untrack(c) })
	return c.Conn.Close()
}

// The methods below override those of the platform client to fail during a partition.

// partitionError returns *tablestore.UnavailableError during a partition, otherwise nil.
func (n *Network) partitionError(op string) error {
	if !n.partitioned.Load() {
		return nil
	}
	return &tablestore.UnavailableError{Op: op, Err: &PartitionError{}}
}

// Read implements tablestore.Table.
func (n *Network) Read(ctx context.Context, key string) (tablestore.Row, error) {
	if err := n.partitionError("read"); err != nil {
		return tablestore.Row{}, err
	}
	return n.Client.Read(ctx, key)
}

// Scan implements tablestore.Table.
func (n *Network) Scan(ctx context.Context, prefix string, limit int, after string) ([]tablestore.Row, error) {
	if err := n.partitionError("scan"); err != nil {
		return nil, err
	}
	return n.Client.Scan(ctx, prefix, limit, after)
}

// Transact implements tablestore.Table.
func (n *Network) Transact(ctx context.Context, changeID string, writes []tablestore.Write) (tablestore.TransactResult, error) {
	if err := n.partitionError("transact"); err != nil {
		return tablestore.TransactResult{}, err
	}
	return n.Client.Transact(ctx, changeID, writes)
}

// Put implements tablestore.ObjectStore.
func (n *Network) Put(ctx context.Context, name string, data []byte) error {
	if err := n.partitionError("put"); err != nil {
		return err
	}
	return n.Client.Put(ctx, name, data)
}

// Get implements tablestore.ObjectStore.
func (n *Network) Get(ctx context.Context, name string) ([]byte, error) {
	if err := n.partitionError("get"); err != nil {
		return nil, err
	}
	return n.Client.Get(ctx, name)
}

// List implements tablestore.InstanceLister.
func (n *Network) List(ctx context.Context) (tablestore.Listing, error) {
	if err := n.partitionError("list"); err != nil {
		return tablestore.Listing{}, err
	}
	return n.Client.List(ctx)
}
