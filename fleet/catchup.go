package fleet

import (
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/pack"
	"github.com/pollendoor/pollendoor/roster"
	"github.com/pollendoor/pollendoor/vmlist"
)

// targetsFetchPause is the minimum time between two fetches of the targets from
// another VM, because entries often change together.
const targetsFetchPause = 150 * time.Millisecond

// catchUpWith fetches what is missing from another VM that has a newer configuration
// or other targets. A VM that watches the store first gives its watch some time.
func (m *messenger) catchUpWith(p *packet, now time.Duration) {
	v, from := m.vm, p.From
	c := v.config.Load()
	if p.ConfigVersion > 0 && (c == nil || c.Version < p.ConfigVersion) && m.startTask(&m.fetchingConfig) {
		go m.fetchConfig(from, p.ConfigVersion)
	}
	if revision, digest := v.targets.State(); p.TargetsDigest == 0 || p.TargetsDigest == digest || p.TargetsRevision < revision {
		m.mu.Lock()
		m.targetsDifferSince = 0
		m.mu.Unlock()
		return
	}
	m.mu.Lock()
	if m.targetsDifferSince == 0 {
		m.targetsDifferSince = now
	}
	late := now-m.targetsDifferSince > targetsWatchDelay
	m.mu.Unlock()
	watching := v.isWatcher() && !v.targetFollower.storeLost.Load()
	if late && watching {
		v.targetFollower.relist()
	} else if !watching && m.startTask(&m.fetchingTargets) {
		go m.fetchTargets(from, p.TargetsRevision, p.TargetsDigest)
	}
}

// startTask marks a task as running. It reports false if the task was already
// running.
func (m *messenger) startTask(running *bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasRunning := *running
	*running = true
	return !wasRunning
}

// finishTask marks a task as finished.
func (m *messenger) finishTask(running *bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*running = false
}

// coordinatorRetryPause is how long a VM waits for the coordinator of its zone to
// receive an update before it asks again.
const coordinatorRetryPause = 120 * time.Millisecond

// coordinatorTimeout bounds a query to the coordinator of the zone, which may stand still.
// There is time left for the VM that has announced the update.
const coordinatorTimeout = 500 * time.Millisecond

// maxConfigBytes bounds the decompressed size of a configuration from another VM.
const maxConfigBytes = 8 << 20

// updateSource is a VM to catch up from.
type updateSource struct {
	vmlist.Peer
	timeout time.Duration // for one query
}

// updateSources returns the VMs to catch up from, in order: the coordinator of the
// zone several times, which costs least and receives the same updates, and then the
// VM that has announced newer versions.
func (m *messenger) updateSources(from vmlist.Peer) []updateSource {
	list := []updateSource{{from, queryTimeout}}
	if coordinators := *m.vm.coordinators.Load(); len(coordinators) > 0 && coordinators[0].Name != from.Name && coordinators[0].Name != m.vm.Settings.VM {
		c := updateSource{coordinators[0], coordinatorTimeout}
		list = []updateSource{c, c, c, list[0]}
	}
	return list
}

// queryUpdate queries a source for an update. One that has not answered a query before is
// not asked again: it would take the time that is left for the others.
func (m *messenger) queryUpdate(s updateSource, request streamRequest, silent map[string]bool) (streamResponse, error) {
	if silent[s.Name] {
		return streamResponse{}, errSilent
	}
	r, err := m.vm.streams.query(s.Peer, request, s.timeout)
	silent[s.Name] = err != nil
	return r, err
}

// errSilent means that a VM was not asked because it has not answered lately.
var errSilent = errors.New("VM has not answered before")

// fetchConfig fetches the configuration from other VMs until this VM has at least the
// given version.
func (m *messenger) fetchConfig(from vmlist.Peer, version uint64) {
	defer m.finishTask(&m.fetchingConfig)
	v := m.vm
	if v.isWatcher() {
		time.Sleep(configWatchDelay)
	}
	silent := make(map[string]bool)
	for i, p := range m.updateSources(from) {
		if i > 0 && !silent[p.Name] {
			time.Sleep(coordinatorRetryPause)
		}
		if c := v.config.Load(); c != nil && c.Version >= version {
			return
		}
		r, err := m.queryUpdate(p, streamRequest{Config: true}, silent)
		if errors.Is(err, errSilent) || err == nil && r.Config == nil {
			continue // the peer has no configuration yet
		}
		var raw []byte
		if err == nil {
			raw, err = pack.Inflate(r.Config, maxConfigBytes)
		}
		if err != nil {
			v.Log.Warn().Err(err).Str("peer", p.Name).Msg("configuration not fetched from another VM")
			continue
		}
		v.adoptConfig(raw, p.Name)
	}
}

// fetchTargets fetches the targets from another VM, which has those of peerRevision
// with the given digest.
func (m *messenger) fetchTargets(from vmlist.Peer, peerRevision, digest uint64) {
	defer func() {
		time.Sleep(targetsFetchPause)
		m.finishTask(&m.fetchingTargets)
	}()
	list := m.updateSources(from)
	m.mu.Lock()
	mismatched := m.targetsDifferSince > 0 && clock.Now()-m.targetsDifferSince > targetsWatchDelay
	m.mu.Unlock()
	if mismatched {
		list = []updateSource{{from, queryTimeout}} // the coordinator does not have them either
	}
	silent := make(map[string]bool)
	for i, p := range list {
		if i > 0 && !silent[p.Name] {
			time.Sleep(coordinatorRetryPause)
		}
		since, _ := m.vm.targets.State()
		if mismatched {
			since = 0
		}
		r, err := m.queryUpdate(p, streamRequest{Targets: true, SinceRevision: since}, silent)
		if errors.Is(err, errSilent) || err == nil && len(r.Targets) == 0 {
			continue // the peer has no targets yet
		}
		var d roster.Delta
		if err == nil {
			d, err = unpackTargets(r.Targets)
		}
		switch {
		case err != nil:
			m.vm.Log.Warn().Err(err).Str("peer", p.Name).Msg("targets not fetched from another VM")
			continue
		case r.Full:
			m.vm.adoptTargetList(d.Changed, d.To, p.Name)
		default:
			m.vm.applyTargetDelta(d, p.Name)
		}
		revision, currentDigest := m.vm.targets.State()
		if currentDigest == digest {
			return
		}
		mismatched = revision >= peerRevision // this VM has the same revision with other contents
	}
}

// compressTargets returns the targets for another VM that has those of the revision
// since: the changes since then, or all of them, in which case full is true. It
// returns nil if there are none.
func (v *VM) compressTargets(since uint64) (packed []byte, full bool) {
	d, ok := v.targets.Since(since)
	if !ok || since == 0 {
		d = roster.Delta{}
		if d.Changed, d.To = v.targets.Listed(); len(d.Changed) == 0 {
			return nil, true
		}
		full = true
	}
	raw, err := cbor.Marshal(d)
	if err == nil {
		packed, err = pack.Deflate(raw)
	}
	if err != nil {
		v.Log.Error().Err(err).Msg("targets not sent to another VM")
	}
	return packed, full
}

// maxTargetsBytes bounds the decompressed size of the targets from another VM.
const maxTargetsBytes = 64 << 20

// unpackTargets decodes what compressTargets has returned.
func unpackTargets(packed []byte) (roster.Delta, error) {
	var d roster.Delta
	raw, err := pack.Inflate(packed, maxTargetsBytes)
	if err != nil {
		return d, err
	}
	return d, errors.Wrap(cbor.Unmarshal(raw, &d), "targets")
}

// setKnownVersions sets the versions of this VM's configuration and targets in a
// packet, for catchUpWith at the receiver.
func (v *VM) setKnownVersions(p *packet) {
	p.TargetsRevision, p.TargetsDigest = v.targets.State()
	if c := v.config.Load(); c != nil {
		p.ConfigVersion = c.Version
	}
}

// announceUpdate notifies the VMs of the zone that its watcher has a new
// configuration or new targets.
func (m *messenger) announceUpdate() {
	v := m.vm
	if m.conn == nil || !v.isWatcher() {
		return
	}
	p := &packet{Kind: packetUpdate}
	v.setKnownVersions(p)
	near := slices.DeleteFunc(m.otherPeers(""), func(o vmlist.Peer) bool { return o.Zone != v.Settings.Zone })
	m.send(p, addresses(near)...)
}

// requestRecord asks the VMs listed as seeds in the settings for the record. It is
// used while the store does not answer, because the leader can be reached without
// the store.
func (m *messenger) requestRecord() {
	m.send(&packet{Kind: packetRecordRequest}, m.seedAddrs()...)
}

// seedAddrs returns the IPs of the seeds, without this VM.
func (m *messenger) seedAddrs() []string {
	var addrs []string
	for _, seed := range m.vm.Settings.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil && ip != m.vm.Settings.IP {
			addrs = append(addrs, ip)
		}
	}
	return addrs
}

// fetchRecord fetches a record from a VM that has a newer one.
func (m *messenger) fetchRecord(from vmlist.Peer) {
	defer m.finishTask(&m.fetchingRecord)
	r, err := m.vm.streams.query(from, streamRequest{Record: true}, queryTimeout)
	if err != nil || r.Record == nil {
		m.vm.Log.Warn().Err(err).Str("peer", from.Name).Msg("record not fetched from another VM")
		return
	}
	m.vm.adoptRecord(*r.Record, "holder") // also sends a heartbeat, to get a lease on the new record
}
