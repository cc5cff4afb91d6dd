package main

import "time"

const (
	// heartbeatInterval is the time between two reports of a database to the store.
	heartbeatInterval = 1200 * time.Millisecond
	// coreCutTime is how long srv_cut cuts a database off from the store.
	coreCutTime = 5 * time.Second
	// crashInCut is how long after the beginning of that cut the primary crashes: its
	// entry has left the store long enough for the VMs to take the database for gone.
	crashInCut = 5000 * time.Millisecond
	// deafBefore is how long before the crash the other replica receives nothing.
	deafBefore = 2 * time.Second
)

// expiredEntry cuts one replica off from the store, but neither from the VMs nor from the
// primary, and crashes the primary while the other replica receives nothing. It checks
// that acknowledged commits are in the log of the database that is promoted.
func expiredEntry(rec *record, trouble bool) ([]string, error) {
	w, writes, stop, err := newWriters(rec)
	defer w.stop()
	if err != nil {
		return nil, err
	}
	g := w.groups[0]
	time.Sleep(warmUp)
	if trouble {
		primary, current, behind := g.members[0], g.members[1], g.members[2]
		back := current.cutFromStore()
		time.Sleep(crashInCut - deafBefore)
		behind.setDeaf(true)
		time.AfterFunc(deafTime, func() { behind.setDeaf(false) })
		time.Sleep(deafBefore)
		primary.crash()
		<-back
		time.Sleep(crashTime - (coreCutTime - crashInCut))
		err = primary.restart()
	} else {
		time.Sleep(crashInCut + crashTime)
	}
	time.Sleep(8 * time.Second)
	stop()
	if err != nil {
		return nil, err
	}
	return append(g.result(rec), g.lostWrites(writes())...), nil
}

// cutFromStore cuts the database off from the store for coreCutTime, just before a report
// is due. Its entry leaves the store three intervals after the last report and is back with
// the first one after the cut. The channel is closed at the end of the cut.
func (d *database) cutFromStore() <-chan struct{} {
	const sinceReport = heartbeatInterval - 100*time.Millisecond
	d.group.note("%s is cut off from the store", d.id)
	time.AfterFunc(entryLifetime-sinceReport, func() {
		d.group.note("the entry of %s leaves the store", d.id)
		d.group.store.Remove("servers", d.id)
	})
	missed := (coreCutTime + sinceReport) / heartbeatInterval
	time.AfterFunc((missed+1)*heartbeatInterval-sinceReport, func() {
		d.group.note("%s reports to the store again", d.id)
		d.publish()
	})
	back := make(chan struct{})
	time.AfterFunc(coreCutTime, func() { close(back) })
	return back
}
