package fleet

import (
	"fmt"
	"io"
	"maps"
	"sync/atomic"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/vmlist"
)

// flow is a kind of traffic that a VM sends: the datagrams by their packetKind,
// and the frames on lanes.
type trafficKind uint8

const (
	trafficWork    trafficKind = iota + trafficKind(packetKindCount) // statements to other VMs
	trafficReply                                                     // their answers
	trafficQuery                                                     // questions beside the work
	trafficConfig                                                    // configurations for other VMs
	trafficTargets                                                   // targets for other VMs
	trafficRecord                                                    // records for other VMs
	trafficKinds
)

var trafficNames = [trafficKinds]string{
	packetHeartbeat: "beat", packetAnswer: "answer", packetRecordChanged: "poke", packetLeaderQuery: "holderAsk", packetLeaderReport: "holderTell",
	packetUpdate: "news", packetQuotaQuestion: "admit", packetQuotaVerdict: "admitted",
	packetRecordCheck: "stands", packetRecordStatus: "stood", packetBatch: "bundle", packetRecordRequest: "seek", packetRecordResponse: "found",
	trafficWork: "work", trafficReply: "reply", trafficQuery: "ask", trafficConfig: "config", trafficTargets: "targets", trafficRecord: "record",
}

// reaches is the number of distances, with one for VMs whose zone is not known.
const reachCount = int(pollendoor.OtherRegion) + 2

var reachNames = [reachCount]string{
	pollendoor.SameZone: "zone", pollendoor.SameRegion: "region", pollendoor.OtherRegion: "beyond", reachCount - 1: "unknown",
}

// traffic counts what a VM sends to others by kind and distance, without the
// headers of the network.
type traffic struct {
	bytes, messages [trafficKinds][reachCount]atomic.Int64
	distances       atomic.Pointer[map[string]pollendoor.Distance] // by IP
}

// follow takes the distances of the VMs of a view.
func (t *traffic) setDistances(peers []vmlist.Peer, distance func(zone string) pollendoor.Distance) {
	distances := make(map[string]pollendoor.Distance, len(peers))
	if old := t.distances.Load(); old != nil && len(*old) < 4*len(peers) {
		maps.Copy(distances, *old) // VMs that have just gone may still be written to
	}
	for _, p := range peers {
		distances[p.IP] = distance(p.Zone)
	}
	t.distances.Store(&distances)
}

// distance returns how far away the VM with an IP is. It reports false if it is not
// known.
func (t *traffic) distance(ip string) (pollendoor.Distance, bool) {
	distances := t.distances.Load()
	if distances == nil {
		return 0, false
	}
	d, ok := (*distances)[ip]
	return d, ok
}

// sent counts one message to a VM.
func (t *traffic) countSent(f trafficKind, ip string, bytes int) {
	reach := reachCount - 1
	if d, ok := t.distance(ip); ok {
		reach = int(d)
	}
	t.messages[f][reach].Add(1)
	t.bytes[f][reach].Add(int64(bytes))
}

// write writes the counters that are not zero.
func (t *traffic) write(w io.Writer) error {
	for f := range t.bytes {
		for r := range t.bytes[f] {
			n := t.messages[f][r].Load()
			if n == 0 {
				continue
			}
			_, err := fmt.Fprintf(w, "pollendoor_sent_messages_total{kind=%q,reach=%q} %d\npollendoor_sent_bytes_total{kind=%q,reach=%q} %d\n",
				trafficNames[f], reachNames[r], n, trafficNames[f], reachNames[r], t.bytes[f][r].Load())
			if err != nil {
				return err
			}
		}
	}
	return nil
}
