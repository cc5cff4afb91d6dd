package fleet

import (
	"fmt"
	"io"
	"maps"
	"sync/atomic"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/vmlist"
)

// trafficKind is a kind of traffic that a VM sends: the datagrams by their
// packetKind, and the frames on streams.
type trafficKind uint8

const (
	trafficWork    trafficKind = iota + trafficKind(packetKindCount) // statements sent to other VMs
	trafficReply                                                     // answers to statements of other VMs
	trafficQuery                                                     // queries other than statements
	trafficConfig                                                    // configurations sent to other VMs
	trafficTargets                                                   // targets sent to other VMs
	trafficRecord                                                    // records sent to other VMs
	trafficKindCount
)

// trafficNames are the kinds of traffic as named in the metrics.
var trafficNames = [trafficKindCount]string{
	packetHeartbeat: "beat", packetAnswer: "answer", packetRecordChanged: "poke", packetLeaderQuery: "holderAsk", packetLeaderReport: "holderTell",
	packetUpdate: "news", packetTokenRequest: "admit", packetTokenDecision: "admitted",
	packetRecordCheck: "stands", packetRecordStatus: "stood", packetBatch: "bundle", packetRecordRequest: "seek", packetRecordResponse: "found",
	trafficWork: "work", trafficReply: "reply", trafficQuery: "ask", trafficConfig: "config", trafficTargets: "targets", trafficRecord: "record",
}

// reachCount is the number of distances, including one for VMs whose zone is
// unknown.
const reachCount = int(pollendoor.OtherRegion) + 2

// reachNames are the distances as named in the metrics.
var reachNames = [reachCount]string{
	pollendoor.SameZone: "zone", pollendoor.SameRegion: "region", pollendoor.OtherRegion: "beyond", reachCount - 1: "unknown",
}

// traffic counts what a VM sends to other VMs by kind and distance, without network
// headers.
type traffic struct {
	bytes, messages [trafficKindCount][reachCount]atomic.Int64
	distances       atomic.Pointer[map[string]pollendoor.Distance] // distance of each VM, by IP
}

// setDistances sets the distances of the VMs of a view.
func (t *traffic) setDistances(peers []vmlist.Peer, distance func(zone string) pollendoor.Distance) {
	distances := make(map[string]pollendoor.Distance, len(peers))
	if old := t.distances.Load(); old != nil && len(*old) < 4*len(peers) {
		maps.Copy(distances, *old) // packets may still be sent to VMs that have just gone
	}
	for _, p := range peers {
		distances[p.IP] = distance(p.Zone)
	}
	t.distances.Store(&distances)
}

// distance returns the distance of the VM with the given IP. It reports false if no
// recent view contains the VM.
func (t *traffic) distance(ip string) (pollendoor.Distance, bool) {
	distances := t.distances.Load()
	if distances == nil {
		return 0, false
	}
	d, ok := (*distances)[ip]
	return d, ok
}

// countSent counts one message to a VM.
func (t *traffic) countSent(kind trafficKind, ip string, bytes int) {
	reach := reachCount - 1
	if d, ok := t.distance(ip); ok {
		reach = int(d)
	}
	t.messages[kind][reach].Add(1)
	t.bytes[kind][reach].Add(int64(bytes))
}

// write writes the counters that are not zero as text metrics.
func (t *traffic) write(w io.Writer) error {
	for kind := range t.bytes {
		for r := range t.bytes[kind] {
			n := t.messages[kind][r].Load()
			if n == 0 {
				continue
			}
			_, err := fmt.Fprintf(w, "pollendoor_sent_messages_total{kind=%q,reach=%q} %d\npollendoor_sent_bytes_total{kind=%q,reach=%q} %d\n",
				trafficNames[kind], reachNames[r], n, trafficNames[kind], reachNames[r], t.bytes[kind][r].Load())
			if err != nil {
				return err
			}
		}
	}
	return nil
}
