package group

import (
	"time"

	"github.com/pollendoor/pollendoor"
)

// AttestFresh is how lately a replica must have attested the term for a write
// to be sent.
const AttestationMaxAge = time.Second

// Attests reports whether a replica's status proves that it holds the entry p
// of p's own term and refuses older terms only. Such a status was asked for
// after the primary answered, so that any majority fenced for a later term
// meets the primary or this replica with the entry in its log.
func Attests(st pollendoor.TargetStatus, p pollendoor.Position) bool {
	return st.Role == pollendoor.Replica && st.Term == p.Term && st.Fenced <= p.Term && st.Index >= p.Index
}

// CanAttest reports whether some replica has lately been of the record's term,
// so that a write sent now has a chance to be acknowledged.
func HasAttestingReplica(rec *pollendoor.GroupRecord, observed map[string]Observed, now time.Time) bool {
	for _, t := range rec.Targets {
		sample, ok := observed[t.Name]
		if !ok || t.Name == rec.Primary || now.Sub(sample.RequestedAt) > AttestationMaxAge {
			continue
		}
		if Attests(sample.Status, pollendoor.Position{Term: rec.Term}) {
			return true
		}
	}
	return false
}

// purgeEvery is the time between removals of old rows of used keys.
const purgeInterval = time.Minute

// ShouldPurge reports whether old rows of used keys are to be removed now. A
// primary that may be cut off is sent no write of the system's own: nothing
// could prove a read behind it.
func ShouldPurge(rec *pollendoor.GroupRecord, observed map[string]Observed, lastPurge, now time.Time) bool {
	return now.Sub(lastPurge) > purgeInterval && rec.Phase == pollendoor.Serving && HasAttestingReplica(rec, observed, now)
}
