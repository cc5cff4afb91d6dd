package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// statementTime is how long a read, a write or a commit occupies a slot.
	statementTime = 8 * time.Millisecond
	// replicationLag is how long after its receipt a replica applies a commit.
	replicationLag = 60 * time.Millisecond
	// promoteTime is the time from the order of a promotion to its effect.
	promoteTime = 300 * time.Millisecond
	// stepDownTime is how long a primary continues beside a newer one that it reaches.
	stepDownTime = time.Second

	// entryLifetime is how long the entry of a silent database stays in the store: three
	// heartbeat intervals.
	entryLifetime = 3600 * time.Millisecond
	// commitTimeout is how long a commit waits for replicas.
	commitTimeout = time.Second

	databaseSlots = 3
	maxConns      = 22
)

// group is one service: a primary and its replicas.
type group struct {
	name    string
	store   entryStore
	ops     *registry
	members []*database
	sync    int // replicas that must have received a commit before it is acknowledged
	// promoteTime is the time from the order of a promotion to its effect.
	promoteTime time.Duration
	answerTime  time.Duration // how long answers take on the way
	connectTime time.Duration // how long a new connection occupies a slot

	mu       sync.Mutex
	breaches []string // broken rules that a database has seen
	events   []string // what happened to the databases
	promoted []promotion
	late     []lateCommit
}

// lateCommit is a commit at a primary after the promotion of another one had taken effect.
type lateCommit struct {
	statement string
	database  string
	successor string
	since     time.Time // when the promotion had taken effect
}

// promotion is a promotion that has taken effect.
type promotion struct {
	target       string
	at           time.Time
	ids          map[string]bool // statements in the target's log
	startedAgain bool            // the target lost its log after the promotion was ordered
}

// entryStore is where databases publish their entries.
type entryStore interface {
	Set(kind, name string, spec any)
	Remove(kind, name string)
}

// commit is one entry of a database's log.
type commit struct {
	term      uint64
	appliedAt time.Time
	writes    map[string]string // new values by item
	ids       []string          // statements that wrote
}

// database is one database of a group. The mutex of the group guards its fields.
type database struct {
	group    *group
	id       string
	zone     string
	addr     string
	listener net.Listener

	primary bool
	term    uint64
	log     []commit
	born    int64
	failing float64 // share of the requests that fail with FAILED
	// failsReset is whether DISCARD fails like other requests. It has run then, as the code
	// FAILED says.
	failsReset bool
	deaf       bool      // receives nothing from the primary
	down       bool      // crashed or left: accepts no connections
	draining   bool      // is about to leave
	ledSince   time.Time // when it was promoted
	conns      map[net.Conn]struct{}
	slots      chan struct{}
}

func newGroup(name string, zones []string, syncReplicas int, store entryStore, ops *registry) (*group, error) {
	g := &group{name: name, store: store, ops: ops, sync: syncReplicas, promoteTime: promoteTime}
	for _, zone := range zones {
		if err := g.add(zone); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// add starts a database of the group: the first one as the primary, the others as replicas
// with the primary's log.
func (g *group) add(zone string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.mu.Lock()
	d := &database{
		group: g, id: fmt.Sprintf("i-%s-%d", g.name, len(g.members)+1), zone: zone, addr: l.Addr().String(), listener: l,
		primary: len(g.members) == 0, term: 1, born: time.Now().UnixMilli(), conns: make(map[net.Conn]struct{}),
		slots: make(chan struct{}, databaseSlots),
	}
	if p := g.leadingLocked(); p != nil {
		d.followLocked(p)
	}
	g.members = append(g.members, d)
	g.noteLocked("%s starts in %s", d.id, zone)
	g.mu.Unlock()
	go d.accept(l)
	d.publish()
	return nil
}

// publish writes the database's entry to the store. The caller must not hold the mutex.
func (d *database) publish() {
	d.group.mu.Lock()
	role, state := "replica", "ready"
	if d.primary {
		role = "primary"
	}
	if d.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": d.group.name, "address": d.addr, "zone": d.zone, "version": "v1", "slots": databaseSlots,
		"state": state, "coldLeftMs": 0, "dbRole": role, "seq": 1, "born": d.born,
	}
	d.group.mu.Unlock()
	d.group.store.Set("servers", d.id, entry)
}

func (g *group) close() {
	for _, d := range g.members {
		d.listener.Close()
		d.closeConns()
	}
}

func (d *database) closeConns() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	for c := range d.conns {
		c.Close()
	}
	clear(d.conns)
}

func (g *group) note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteLocked(format, args...)
}

func (g *group) noteLocked(format string, args ...any) {
	g.events = append(g.events, stamp()+" "+fmt.Sprintf(format, args...))
}

// breach records a broken rule. The caller holds the mutex.
func (g *group) breach(format string, args ...any) {
	g.breaches = append(g.breaches, stamp()+" "+fmt.Sprintf(format, args...))
}

// leading returns the primary of the highest term, or nil. One that has crashed counts.
func (g *group) leading() *database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leadingLocked()
}

func (g *group) leadingLocked() *database {
	var best *database
	for _, d := range g.members {
		if d.primary && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// promote orders that a database leads the next term, and returns the status of the call.
func (g *group) promote(id, holder, token string) int {
	g.note("promote %s ordered by %s with token %s", id, holder, token)
	i := slices.IndexFunc(g.members, func(d *database) bool { return d.id == id })
	if i < 0 {
		return 409
	}
	next := g.members[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	if next.down {
		return 409
	}
	born := next.born
	time.AfterFunc(g.promoteTime, func() { g.takeOver(next, born) })
	return 200
}

// takeOver makes a database the primary of the next term with what it has received. born is
// that of its process when the promotion was ordered.
func (g *group) takeOver(next *database, born int64) {
	g.mu.Lock()
	var term uint64
	for _, d := range g.members {
		term = max(term, d.term)
	}
	if next.primary && next.term == term {
		g.mu.Unlock()
		return
	}
	next.primary, next.term, next.ledSince = true, term+1, time.Now()
	g.noteLocked("%s leads term %d with %d commits", next.id, next.term, len(next.log))
	g.promoted = append(g.promoted, promotion{next.id, time.Now(), next.ids(), next.born != born})
	for _, d := range g.members {
		if d != next && !d.primary && !d.deaf && !d.down {
			d.followLocked(next)
		}
	}
	g.mu.Unlock()
	next.publish()
	time.AfterFunc(stepDownTime, func() {
		for _, d := range g.members {
			g.mu.Lock()
			stale := d.primary && d.term < next.term && !d.down
			if stale {
				d.followLocked(next)
			}
			g.mu.Unlock()
			if stale {
				d.publish()
			}
		}
	})
}

// followLocked makes d a replica with the log of p.
func (d *database) followLocked(p *database) {
	d.primary, d.term = false, p.term
	d.log = slices.Clone(p.log)
}

// ids returns the statements in the database's log. The caller holds the mutex.
func (d *database) ids() map[string]bool {
	ids := make(map[string]bool)
	for _, e := range d.log {
		for _, id := range e.ids {
			ids[id] = true
		}
	}
	return ids
}

// setDeaf makes a replica receive nothing, or receive the log of the primary again.
func (d *database) setDeaf(deaf bool) {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	d.deaf = deaf
	if p := g.leadingLocked(); !deaf && p != nil && p != d && !p.down {
		d.followLocked(p)
	}
	g.noteLocked("%s receives nothing: %v", d.id, deaf)
}

// crash makes the database refuse connections until restart. Its entry leaves the store
// after three heartbeat intervals.
func (d *database) crash() {
	g := d.group
	g.mu.Lock()
	d.down = true
	g.noteLocked("%s crashes with %d commits", d.id, len(d.log))
	g.mu.Unlock()
	d.listener.Close()
	d.closeConns()
	time.AfterFunc(entryLifetime, func() {
		g.mu.Lock()
		gone := d.down
		g.mu.Unlock()
		if gone {
			g.store.Remove("servers", d.id)
		}
	})
}

// restart ends a crash. The database comes back with its log, as a replica if another one
// was promoted.
func (d *database) restart() error {
	l, err := net.Listen("tcp4", d.addr)
	if err != nil {
		return err
	}
	g := d.group
	g.mu.Lock()
	d.down, d.listener = false, l
	if p := g.leadingLocked(); p != d {
		d.followLocked(p)
	}
	g.noteLocked("%s is back with %d commits", d.id, len(d.log))
	g.mu.Unlock()
	go d.accept(l)
	d.publish()
	return nil
}

// startAgain ends the database's process and starts it again under its id. It then holds
// and knows nothing of before, and follows the primary if there is one.
func (d *database) startAgain() {
	g := d.group
	d.closeConns()
	g.mu.Lock()
	d.primary, d.term, d.log, d.born = false, 0, nil, time.Now().UnixMilli()
	if p := g.leadingLocked(); p != nil && !p.down {
		d.followLocked(p)
	}
	g.noteLocked("%s started again, with %d commits", d.id, len(d.log))
	g.mu.Unlock()
	d.publish()
}

func (d *database) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go d.serve(c)
	}
}

// dbSession is the state of one connection.
type dbSession struct {
	db       *database
	values   map[string]string
	prepared map[string]string
	tx       bool
	readOnly bool
	failed   bool
	owner    string // operation of the first statement of the open transaction
	writes   map[string]string
	ids      []string
}

func (d *database) serve(c net.Conn) {
	g := d.group
	defer c.Close()
	in := bufio.NewReader(c)
	first, err := in.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(first)
	g.mu.Lock()
	full := len(d.conns) >= maxConns
	if !full {
		d.conns[c] = struct{}{}
	}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(d.conns, c)
		g.mu.Unlock()
	}()
	switch {
	case full:
		fmt.Fprintf(c, "ERROR CONNLIMIT %s\r\n", d.id)
		return
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != g.name || len(f) > 3 && f[3] != d.id:
		fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", d.id)
		return
	}
	if g.connectTime > 0 {
		d.slots <- struct{}{}
		time.Sleep(g.connectTime)
		<-d.slots
	}
	time.Sleep(g.answerTime)
	fmt.Fprintf(c, "READY I %s\r\n", d.position())
	s := &dbSession{db: d, values: make(map[string]string), prepared: make(map[string]string)}
	for {
		l, err := in.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(l, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer := s.query(id, text)
		time.Sleep(g.answerTime)
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", answer, s.state(), d.position()); err != nil {
			return
		}
	}
}

func (s *dbSession) state() string {
	switch {
	case s.failed:
		return "E"
	case s.tx:
		return "T"
	}
	return "I"
}

// applied returns how many commits reads see. The caller holds the mutex.
func (d *database) applied() int {
	if d.primary {
		return len(d.log)
	}
	now := time.Now()
	if i := slices.IndexFunc(d.log, func(e commit) bool { return e.appliedAt.After(now) }); i >= 0 {
		return i
	}
	return len(d.log)
}

// positionAt returns the position after n commits. The caller holds the mutex.
func (d *database) positionAt(n int) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", d.log[n-1].term, n)
}

func (d *database) position() string {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.positionAt(d.applied())
}

// has reports whether reads see a position. The caller holds the mutex.
func (d *database) has(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	index, _ := strconv.Atoi(n)
	return index == 0 || index <= d.applied() && d.log[index-1].term == term
}

// fail returns an error message, and fails an open transaction.
func (s *dbSession) fail(code, text string) string {
	if s.tx {
		s.failed = true
	}
	return "ERROR " + code + " " + text + "\r\n"
}

// endTx ends the open transaction without its writes.
func (s *dbSession) endTx() {
	s.tx, s.failed, s.readOnly, s.owner, s.writes, s.ids = false, false, false, "", nil, nil
}

// discard drops the values and prepared names.
func (s *dbSession) discard() {
	clear(s.values)
	clear(s.prepared)
}

// query runs one request and returns the answer without its READY.
func (s *dbSession) query(id, text string) string {
	d, g := s.db, s.db.group
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTERLSN "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	const complete = "COMPLETE -\r\n"
	if s.failed && word != "ROLLBACK" && word != "COMMIT" {
		return "ERROR MALFORMED the transaction has failed\r\n"
	}
	g.mu.Lock()
	failing, failsReset := d.failing, d.failsReset
	g.mu.Unlock()
	mayFail := word != "ROLLBACK" && word != "COMMIT" && word != "STATUS" && word != "STEPDOWN" && (word != "DISCARD" || failsReset)
	if mayFail && failing > 0 && rand.Float64() < failing {
		g.note("%s fails: %s %s", d.id, id, text)
		if word == "DISCARD" {
			s.discard()
		}
		return s.fail("FAILED", d.id)
	}
	switch word {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return complete
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return complete
	case "DEALLOC":
		delete(s.prepared, rest)
		return complete
	case "DISCARD":
		s.discard()
		return complete
	case "ROLLBACK":
		s.endTx()
		return complete
	case "STATUS", "STEPDOWN":
		return s.control(word, rest)
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSTMT", name)
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = args
	}
	if word == "FETCH" || word == "STORE" || word == "COMMIT" {
		d.slots <- struct{}{}
		time.Sleep(statementTime)
		defer func() { <-d.slots }()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if after != "" && !d.has(after) {
		return s.fail("LAGGING", after)
	}
	if word == "FETCH" || word == "STORE" || word == "COMMIT" {
		s.checkPinned(id, text)
	}
	switch word {
	case "BEGIN":
		switch {
		case s.tx:
			return s.fail("MALFORMED", "a transaction is open")
		case rest == "" && !d.primary:
			return s.fail("READONLY", d.id)
		}
		s.tx, s.readOnly = true, rest != ""
		return complete
	case "FETCH":
		value := s.writes[rest]
		for i := d.applied() - 1; i >= 0 && value == ""; i-- {
			value = d.log[i].writes[rest]
		}
		return fmt.Sprintf("DATAROW %s\r\nCOMPLETE %s.%s\r\n", value, d.id, id)
	case "STORE":
		if !d.primary || s.tx && s.readOnly {
			return s.fail("READONLY", d.id)
		}
		item, value, _ := strings.Cut(rest, " ")
		if s.writes == nil {
			s.writes = make(map[string]string)
		}
		s.writes[item] = value
		s.ids = append(s.ids, id)
		if !s.tx {
			if !d.commit(s) {
				return s.fail("TIMEOUT", d.id)
			}
		}
		return fmt.Sprintf("COMPLETE %s.%s\r\n", d.id, id)
	case "COMMIT":
		ended := s.failed || len(s.ids) > 0 && !d.primary
		if !s.tx {
			return s.fail("MALFORMED", "no transaction is open")
		}
		if ended {
			s.endTx()
			return "ERROR READONLY " + d.id + "\r\n"
		}
		received := d.commit(s)
		s.endTx()
		if !received {
			return s.fail("TIMEOUT", d.id)
		}
		return fmt.Sprintf("COMPLETE %s.%s\r\n", d.id, id)
	}
	return s.fail("MALFORMED", word)
}

// checkPinned checks that a caller's statement runs in its own transaction, or in none if
// it belongs to none, and with its session's values. The caller holds the mutex.
func (s *dbSession) checkPinned(id, text string) {
	d := s.db
	sent, ok := d.group.ops.of(id)
	switch {
	case !ok:
		d.group.breach("UNASKED: %s ran %q with the id %s that no client sent", d.id, text, id)
	case s.tx && !sent.inTx:
		d.group.breach("PINNED: %s ran %q, statement %s that belongs to no transaction, in a transaction that another statement had opened", d.id, text, id)
	case !s.tx && sent.inTx:
		d.group.breach("PINNED: %s ran %q, statement %s of transaction %s, outside a transaction", d.id, text, id, sent.op)
	case sent.inTx && s.owner == "":
		s.owner = sent.op
	case sent.inTx && s.owner != sent.op:
		d.group.breach("PINNED: %s ran %q, statement %s of transaction %s, in transaction %s", d.id, text, id, sent.op, s.owner)
	}
	if got := joinValues(s.values); ok && got != sent.values {
		d.group.breach("PINNED: %s ran %q, statement %s, with the session values %q, want %q", d.id, text, id, got, sent.values)
	}
}

// joinValues returns session values as NAME=VALUE in order.
func joinValues(values map[string]string) string {
	var list []string
	for name, value := range values {
		list = append(list, name+"="+value)
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// control runs STATUS or STEPDOWN.
func (s *dbSession) control(word, rest string) string {
	d, g := s.db, s.db.group
	select {
	case d.slots <- struct{}{}:
		defer func() { <-d.slots }()
	default:
		return s.fail("BUSY", d.id)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if t, err := strconv.ParseUint(rest, 10, 64); word == "STEPDOWN" && err == nil && d.primary && d.term < t {
		d.primary = false
		if p := g.leadingLocked(); p != nil {
			d.followLocked(p)
		}
		g.noteLocked("%s stepped down for term %d", d.id, t)
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s 0 0 %d %d\r\nCOMPLETE -\r\n", role, d.term, d.positionAt(len(d.log)), len(d.slots), len(d.conns))
}

// commit appends the session's writes to the log, and to those of the replicas that
// receive it. It reports false if not enough replicas have received it within
// commitTimeout. The caller holds the mutex, which is released while commit waits.
func (d *database) commit(s *dbSession) bool {
	if len(s.ids) == 0 {
		return true
	}
	e := commit{term: d.term, writes: s.writes, ids: s.ids}
	s.writes, s.ids = nil, nil
	if p := d.group.leadingLocked(); p.term > d.term {
		for _, id := range e.ids {
			d.group.late = append(d.group.late, lateCommit{id, d.id, p.id, p.ledSince})
		}
	}
	d.log = append(d.log, e)
	index := len(d.log)
	e.appliedAt = time.Now().Add(replicationLag)
	for _, r := range d.group.members {
		if r != d && !r.primary && !r.deaf && !r.down && r.term == d.term && len(r.log) == index-1 {
			r.log = append(r.log, e)
		}
	}
	for deadline := time.Now().Add(commitTimeout); d.receivedBy(index, e.ids[0]) < d.group.sync; {
		if d.down || time.Now().After(deadline) {
			return false
		}
		d.group.mu.Unlock()
		time.Sleep(time.Millisecond)
		d.group.mu.Lock()
	}
	return true
}

// receivedBy returns how many replicas have the commit of a statement at an index. The
// caller holds the mutex.
func (d *database) receivedBy(index int, id string) int {
	n := 0
	for _, r := range d.group.members {
		if r != d && len(r.log) >= index && r.log[index-1].ids[0] == id {
			n++
		}
	}
	return n
}

// committed returns how often each statement is in the log of the primary.
func (g *group) committed() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := make(map[string]int)
	if p := g.leadingLocked(); p != nil {
		for _, e := range p.log {
			for _, id := range e.ids {
				n[id]++
			}
		}
	}
	return n
}
