package front

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor/route"
)

// digest is a SHA-256 hash of the statements and parameters that an idempotency
// key identifies.
type digest struct{ hasher hash.Hash }

// newDigest returns the digest of no parts.
func newDigest() *digest { return &digest{hasher: sha256.New()} }

// addPart adds b with its length, so that the boundaries of parts count.
func (d *digest) addPart(b []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(b)))
	d.hasher.Write(length[:])
	d.hasher.Write(b)
}

// addStatement adds the fingerprint of a statement's text.
func (d *digest) addStatement(text string) { d.addPart([]byte(route.Fingerprint(text))) }

// addParams adds the formats and values of the parameters of a Bind.
func (d *digest) addParams(msg *pgproto3.Bind) {
	for _, c := range msg.ParameterFormatCodes {
		d.addPart([]byte{byte(c)})
	}
	for _, p := range msg.Parameters {
		if p == nil {
			d.addPart([]byte("NULL is no text"))
			continue
		}
		d.addPart(p)
	}
}

// hexString returns the first 16 bytes of the digest of the parts added so far,
// in hexadecimal.
func (d *digest) hexString() string { return hex.EncodeToString(d.hasher.Sum(nil)[:16]) }

// statementName returns the name under which a statement is prepared at targets.
// It is derived from the text and the parameter types, so it is the same for
// every session that prepares the statement.
func statementName(sql string, oids []uint32) string {
	d := newDigest()
	d.addPart([]byte(sql))
	var encoded [4]byte
	for _, o := range oids {
		binary.BigEndian.PutUint32(encoded[:], o)
		d.addPart(encoded[:])
	}
	return "pd" + d.hexString()
}
