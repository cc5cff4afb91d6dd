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
type flow uint8

const (
	flowWork    flow = iota + flow(packetKinds) // statements to other VMs
	flowReply                                   // their answers
	flowAsk                                     // questions beside the work
	flowConfig                                  // configurations for other VMs
	flowTargets                                 // targets for other VMs
	flowRecord                                  // records for other VMs
	flows
)

var flowNames = [flows]string{
	packetBeat: "beat", packetAnswer: "answer", packetPoke: "poke", packetAsk: "holderAsk", packetTell: "holderTell",
	packetNews: "news", packetAdmit: "admit", packetAdmitted: "admitted",
	packetStands: "stands", packetStood: "stood", packetBundle: "bundle", packetSeek: "seek", packetFound: "found",
	flowWork: "work", flowReply: "reply", flowAsk: "ask", flowConfig: "config", flowTargets: "targets", flowRecord: "record",
}

// reaches is the number of distances, with one for VMs whose zone is not known.
const reaches = int(pollendoor.OtherRegion) + 2

var reachNames = [reaches]string{
	pollendoor.SameZone: "zone", pollendoor.SameRegion: "region", pollendoor.OtherRegion: "beyond", reaches - 1: "unknown",
}

// traffic counts what a VM sends to others by kind and distance, without the
// headers of the network.
type traffic struct {
	bytes, messages [flows][reaches]atomic.Int64
	near            atomic.Pointer[map[string]pollendoor.Distance] // by IP
}

// follow takes the distances of the VMs of a view.
func (t *traffic) follow(peers []vmlist.Peer, distance func(zone string) pollendoor.Distance) {
	near := make(map[string]pollendoor.Distance, len(peers))
	if old := t.near.Load(); old != nil && len(*old) < 4*len(peers) {
		maps.Copy(near, *old) // VMs that have just gone may still be written to
	}
	for _, p := range peers {
		near[p.IP] = distance(p.Zone)
	}
	t.near.Store(&near)
}

// distance returns how far away the VM with an IP is. It reports false if it is not
// known.
func (t *traffic) distance(ip string) (pollendoor.Distance, bool) {
	near := t.near.Load()
	if near == nil {
		return 0, false
	}
	d, ok := (*near)[ip]
	return d, ok
}

// sent counts one message to a VM.
func (t *traffic) sent(f flow, ip string, bytes int) {
	reach := reaches - 1
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
				flowNames[f], reachNames[r], n, flowNames[f], reachNames[r], t.bytes[f][r].Load())
			if err != nil {
				return err
			}
		}
	}
	return nil
}
