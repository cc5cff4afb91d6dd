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

// encoding carries the messages between VMs as CBOR.
type cborEncoding struct{}

// Marshal encodes a message.
func (cborEncoding) Marshal(m drpc.Message) ([]byte, error) { return cbor.Marshal(m) }

// Unmarshal decodes a message.
func (cborEncoding) Unmarshal(b []byte, m drpc.Message) error { return cbor.Unmarshal(b, m) }

var encoding cborEncoding

// managerOptions let a whole batch of a caller through in one message.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: 3 * pgwire.MaxMessage}}
}

// certLife is how long a certificate of the VMs is valid.
const certLifetime = 10 * 365 * 24 * time.Hour

// Secure returns the TLS settings of both ends for a secret shared by all VMs.
func Secure(secret string) (*tls.Config, error) {
	if len(secret) < 16 {
		return nil, errors.New("the peers' secret must have at least 16 characters")
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, "pollendoor peers", ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "peers' key")
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
		return nil, errors.Wrap(err, "peers' certificate")
	}
	ownKey := key.Public().(ed25519.PublicKey)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:   tls.RequireAnyClientCert,
		// There is no authority to verify: the peer must own the same key, which
		// the handshake proves.
		InsecureSkipVerify: true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			c, err := x509.ParseCertificate(raw[0])
			if err != nil {
				return errors.Wrap(err, "peer's certificate")
			}
			if k, ok := c.PublicKey.(ed25519.PublicKey); !ok || !ownKey.Equal(k) {
				return errors.New("peer does not know the shared secret")
			}
			return nil
		},
	}, nil
}

// maxIdle bounds the idle connections kept to one peer.
const maxIdleConns = 16

// wireBytes counts what this process has sent and received among VMs.
var wireBytes atomic.Int64

// Bytes returns how many bytes this process has exchanged with other VMs on the
// connections it dialed, encryption included.
func Bytes() int64 { return wireBytes.Load() }

// counted counts the bytes of a connection.
type countingConn struct{ net.Conn }

// Read reads and counts.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	wireBytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	wireBytes.Add(int64(n))
	return n, err
}

// dialer keeps connections to peers. A connection carries one call at a time.
type dialer struct {
	tls *tls.Config
	cut func(addr string) bool // whether a peer is out of reach, for tests

	mu   sync.Mutex
	idle map[string][]*drpcconn.Conn
}

func (d *dialer) get(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	if d.cut != nil && d.cut(addr) {
		return nil, errors.New("peer is cut off")
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
		return nil, errors.Wrap(err, "secure the connection to a peer")
	}
	return drpcconn.NewWithOptions(n, drpcconn.Options{Manager: managerOptions()}), nil
}

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

// invoke makes one call.
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
