package group

import (
	"time"

	"github.com/pollendoor/pollendoor"
)

// AttestationMaxAge is the maximum age of a replica status that proves the
// current term. A write is sent only if some replica has such a status.
const AttestationMaxAge = time.Second

// Attests reports whether a replica's status proves that it holds the entry p
// in p's own term and has not been fenced for a later term. The status must
// have been requested after the primary answered: then any majority that is
// fenced for a later term includes the primary or this replica, and with it the
// entry.
func Attests(st pollendoor.TargetStatus, p pollendoor.Position) bool {
	return st.Role == pollendoor.Replica && st.Term == p.Term && st.Fenced <= p.Term && st.Index >= p.Index
}

// HasAttestingReplica reports whether at least one replica recently reported
// the record's term, so that a write sent now can be acknowledged.
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

// purgeInterval is the time between removals of expired idempotency key rows.
const purgeInterval = time.Minute

// ShouldPurge reports whether expired idempotency key rows should be removed
// now. Internal writes are not sent to a primary that may be partitioned from
// its replicas: no replica could confirm such a write, so a read that follows
// it could not be proven either.
func ShouldPurge(rec *pollendoor.GroupRecord, observed map[string]Observed, lastPurge, now time.Time) bool {
	return now.Sub(lastPurge) > purgeInterval && rec.Phase == pollendoor.Serving && HasAttestingReplica(rec, observed, now)
}
