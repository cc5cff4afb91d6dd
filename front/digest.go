package front

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor/route"
)

// digest sums up what an idempotency key stands for: statements and parameters.
type digest struct{ sum hash.Hash }

func newDigest() *digest { return &digest{sum: sha256.New()} }

func (d *digest) part(b []byte) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(b)))
	d.sum.Write(n[:])
	d.sum.Write(b)
}

func (d *digest) statement(text string) { d.part([]byte(route.Fingerprint(text))) }

func (d *digest) params(m *pgproto3.Bind) {
	for _, c := range m.ParameterFormatCodes {
		d.part([]byte{byte(c)})
	}
	for _, p := range m.Parameters {
		if p == nil {
			d.part([]byte("NULL is no text"))
			continue
		}
		d.part(p)
	}
}

// text returns the digest so far in hexadecimal.
func (d *digest) text() string { return hex.EncodeToString(d.sum.Sum(nil)[:16]) }

// statementName returns the name under which a statement is prepared at
// targets, the same for every session that prepares it.
func statementName(sql string, oids []uint32) string {
	d := newDigest()
	d.part([]byte(sql))
	var n [4]byte
	for _, o := range oids {
		binary.BigEndian.PutUint32(n[:], o)
		d.part(n[:])
	}
	return "pd" + d.text()
}
