package fleet

import (
	"time"

	"github.com/pollendoor/pollendoor/lease"
)

// restartReportLife is how long a report of a VM that has restarted counts, and also
// how long after its start a process asks others whether they have restarted.
const restartReportLife = 2 * time.Second

// restartReport is what a VM has reported that started lately and has had no answer
// from the leader since.
type restartReport struct {
	receivedAt time.Duration
	ip         string
}

// unanswered returns how long this process has been sending heartbeats to the leader
// without an answer since it started, zero once it has been answered. The caller holds
// mu.
func (m *messenger) unanswered(now time.Duration) time.Duration {
	if m.firstHeartbeat == 0 || m.answerStamp.Token != 0 {
		return 0
	}
	return now - m.firstHeartbeat
}

// setRestarted sets in a leader query or report that this process has started lately
// and has had no answer from the leader since.
func (m *messenger) setRestarted(p *packet, now time.Duration) {
	if m.vm.leader.isLeader() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.ProcessAge = now - m.startedAt
	p.Unanswered = p.ProcessAge < restartReportLife && m.answerStamp.Token == 0
}

// noteRestarted records whether the sender of a leader query or report has restarted.
func (m *messenger) noteRestarted(p *packet, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !p.Unanswered || p.ProcessAge > restartReportLife {
		delete(m.restarted, p.From.Name)
		return
	}
	if m.restarted == nil {
		m.restarted = make(map[string]restartReport)
	}
	m.restarted[p.From.Name] = restartReport{receivedAt: now, ip: p.From.IP}
}

// countRestarted returns the number of other VMs that have reported a restart lately.
// The caller holds mu.
func (m *messenger) countRestarted(now time.Duration) int {
	for name, r := range m.restarted {
		if now-r.receivedAt > restartReportLife {
			delete(m.restarted, name)
		}
	}
	return len(m.restarted)
}

// queryRestarted asks the seeds whether they have restarted as well, while this process
// has had no answer from the leader since its start: it knows no other VMs yet. It
// reports whether that is so.
func (m *messenger) queryRestarted(r *lease.Record, now time.Duration) bool {
	m.mu.Lock()
	waiting := m.unanswered(now) > 0 && now-m.startedAt < restartReportLife
	m.mu.Unlock()
	if !waiting || !m.recordLookedUp.Load() {
		return false
	}
	p := &packet{Kind: packetLeaderQuery, Token: r.Token, Stamp: now}
	m.setRestarted(p, now)
	m.send(p, m.seedAddrs()...)
	return true
}

// notifyRestarted sends the record of a new leader to the VMs that have restarted. They
// send their heartbeats to the former leader, and know no other VMs.
func (m *messenger) notifyRestarted(r storedRecord, now time.Duration) {
	m.mu.Lock()
	m.countRestarted(now) // drops those that are outdated
	addrs := make([]string, 0, len(m.restarted))
	for _, s := range m.restarted {
		addrs = append(addrs, s.ip)
	}
	m.mu.Unlock()
	if len(addrs) > 0 {
		m.send(&packet{Kind: packetRecordResponse, Record: &r}, addrs...)
	}
}
