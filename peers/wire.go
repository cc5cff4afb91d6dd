package peers

import (
	"context"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/pollendoor/pollendoor/pgwire"
)

// cborEncoding encodes the messages between VMs as CBOR.
type cborEncoding struct{}

// Marshal encodes a message.
func (cborEncoding) Marshal(m drpc.Message) ([]byte, error) { return cbor.Marshal(m) }

// Unmarshal decodes a message.
func (cborEncoding) Unmarshal(b []byte, m drpc.Message) error { return cbor.Unmarshal(b, m) }

var encoding cborEncoding

// managerOptions returns drpc options whose buffer size allows a caller's whole
// batch in one message.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: 3 * pgwire.MaxMessage}}
}

// certLifetime is the validity period of the VMs' certificates.
const certLifetime = 10 * 365 * 24 * time.Hour

// Secure returns the TLS configuration for both ends of a connection, derived from
// a secret shared by all VMs. The secret must have at least 16 bytes.
func Secure(secret string) (*tls.Config, error) {
	if len(secret) < 16 {
		return nil, errors.New("the peers' secret must have at least 16 characters")
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, "pollendoor peers", ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive the key of the peers")
	}
	key := ed25519.NewKeyFromSeed(seed)
	now := time.Now()
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "pollendoor"},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create the certificate of the peers")
	}
	ownKey := key.Public().(ed25519.PublicKey)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:   tls.RequireAnyClientCert,
		// There is no certificate authority to verify against: the peer must own
		// the same private key, which the handshake proves.
		InsecureSkipVerify: true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			c, err := x509.ParseCertificate(raw[0])
			if err != nil {
				return errors.Wrap(err, "parse the certificate of the peer")
			}
			if k, ok := c.PublicKey.(ed25519.PublicKey); !ok || !ownKey.Equal(k) {
				return errors.New("peer's certificate does not match the shared secret")
			}
			return nil
		},
	}, nil
}

// maxIdleConns is the maximum number of idle connections kept per peer.
const maxIdleConns = 16

// wireBytes counts the bytes that this process has sent and received on the
// connections to other VMs that it dialed.
var wireBytes atomic.Int64

// Bytes returns the number of bytes this process has sent and received on the
// connections to other VMs that it dialed, including the TLS overhead.
func Bytes() int64 { return wireBytes.Load() }

// countingConn counts the bytes sent and received on a connection in wireBytes.
type countingConn struct{ net.Conn }

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	wireBytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	wireBytes.Add(int64(n))
	return n, err
}

// dialer dials peers and keeps idle connections to them. A connection carries one
// call at a time.
type dialer struct {
	tls *tls.Config
	cut func(addr string) bool // whether a peer is to be treated as unreachable, for tests; may be nil

	mu   sync.Mutex
	idle map[string][]*drpcconn.Conn // by address
}

// get returns an idle connection to a peer, or dials one.
func (d *dialer) get(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	if d.cut != nil && d.cut(addr) {
		return nil, errors.New("peer is unreachable")
	}
	d.mu.Lock()
	for list := d.idle[addr]; len(list) > 0; list = d.idle[addr] {
		c := list[len(list)-1]
		d.idle[addr] = list[:len(list)-1]
		select {
		case <-c.Closed():
			continue
		default:
		}
		d.mu.Unlock()
		return c, nil
	}
	d.mu.Unlock()
	var nd net.Dialer
	raw, err := nd.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	n := tls.Client(countingConn{raw}, d.tls)
	if err := n.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, errors.Wrap(err, "TLS handshake with peer")
	}
	return drpcconn.NewWithOptions(n, drpcconn.Options{Manager: managerOptions()}), nil
}

// release returns a connection to the idle ones, or closes it if there are
// maxIdleConns already.
func (d *dialer) release(addr string, c *drpcconn.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle == nil {
		d.idle = make(map[string][]*drpcconn.Conn)
	}
	if len(d.idle[addr]) >= maxIdleConns || d.cut != nil && d.cut(addr) {
		c.Close()
		return
	}
	d.idle[addr] = append(d.idle[addr], c)
}

// invoke makes one unary call to a peer.
func (d *dialer) invoke(ctx context.Context, addr, rpc string, in, out drpc.Message) error {
	c, err := d.get(ctx, addr)
	if err != nil {
		return err
	}
	if err := c.Invoke(ctx, rpc, encoding, in, out); err != nil {
		c.Close()
		return errors.Wrapf(err, "call %s", rpc)
	}
	d.release(addr, c)
	return nil
}

// close closes the idle connections.
func (d *dialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range d.idle {
		for _, c := range list {
			c.Close()
		}
	}
	d.idle = nil
}
