//go:build review

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	replicationDelay = time.Millisecond       // time until a replica receives a commit
	promoteDelay     = 300 * time.Millisecond // time from a promotion call to the new term
	handshakeTime    = 12 * time.Millisecond  // slot time of a new connection
	controlTime      = time.Millisecond       // slot time of STATUS
	syncTimeout      = time.Second            // how long a commit waits for its replicas
	queueLimit       = 24                     // statements that wait for a slot; more get BUSY
)

// service is one database service: a primary and its replicas.
type service struct {
	name         string
	slots        int
	maxConns     int
	syncReplicas int
	workTime     time.Duration // slot time of a statement without a time of its own
	members      []*database
	record       *record
	roleChanged  func(d *database)

	mu         sync.Mutex
	ran        map[string]time.Time // when each statement of a client began to run
	promotions []promotion
}

// promotion is one change of the primary that took effect.
type promotion struct {
	at     time.Time
	target string
	log    []logEntry // what the new primary had received
}

// logEntry is one commit.
type logEntry struct {
	term   uint64
	at     time.Time
	writes map[string]string
	ids    []string
}

// database is one database of a service.
type database struct {
	id, zone, addr string
	service        *service
	slot           chan struct{}

	mu       sync.Mutex // guards the listener and the connections
	listener net.Listener
	conns    map[net.Conn]struct{}

	// The service's mutex guards these.
	down      bool
	draining  bool
	deaf      bool          // receives nothing
	lag       time.Duration // time from receiving to applying a commit
	primary   bool
	term      uint64
	log       []logEntry
	appliedAt []time.Time // when each entry of log becomes visible
	waiting   int
}

// start opens the listeners of all members.
func (s *service) start(zones []string, lag time.Duration) error {
	s.ran = make(map[string]time.Time)
	for i, zone := range zones {
		d := &database{
			id: fmt.Sprintf("i-%s%d", s.name, i+1), zone: zone, service: s, slot: make(chan struct{}, s.slots),
			primary: i == 0, term: 1, lag: lag, conns: make(map[net.Conn]struct{}),
		}
		if err := d.listen("127.0.0.1:0"); err != nil {
			return err
		}
		d.addr = d.listener.Addr().String()
		s.members = append(s.members, d)
	}
	go s.replicate()
	return nil
}

func (d *database) listen(addr string) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listener = l
	d.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return nil
}

// crash ends the database's process: its port refuses connections. The log stays.
func (d *database) crash() {
	d.service.mu.Lock()
	d.down = true
	d.service.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listener.Close()
	for c := range d.conns {
		c.Close()
	}
}

// restart brings a crashed database back with its log.
func (d *database) restart() error {
	if err := d.listen(d.addr); err != nil {
		return err
	}
	d.service.mu.Lock()
	d.down = false
	d.service.mu.Unlock()
	return nil
}

// set changes how the database receives and applies commits.
func (d *database) set(deaf bool, lag time.Duration) {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	d.deaf, d.lag = deaf, lag
}

// leading returns the running primary of the newest term. The caller holds mu.
func (s *service) leading() *database {
	var best *database
	for _, d := range s.members {
		if d.primary && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// replicate passes commits on to the replicas.
func (s *service) replicate() {
	for range time.Tick(time.Millisecond) {
		s.mu.Lock()
		p := s.leading()
		for _, d := range s.members {
			if d != p && !d.down && !d.deaf && p != nil && !p.down {
				d.receive(p)
			}
		}
		s.mu.Unlock()
	}
}

// receive takes over what p has committed; entries that p lacks are rolled back. The
// caller holds the service's mutex.
func (d *database) receive(p *database) {
	if d.primary {
		d.primary = false // a second after it reaches the new primary at the latest
		go d.service.roleChanged(d)
	}
	d.term = p.term
	n := 0
	for n < len(d.log) && n < len(p.log) && d.log[n].ids[0] == p.log[n].ids[0] {
		n++
	}
	d.log, d.appliedAt = d.log[:n], d.appliedAt[:n]
	now := time.Now()
	for _, e := range p.log[n:] {
		if now.Sub(e.at) < replicationDelay {
			break
		}
		d.log, d.appliedAt = append(d.log, e), append(d.appliedAt, now.Add(d.lag))
	}
}

// applied returns how many entries reads see. The caller holds the service's mutex.
func (d *database) applied() int {
	if d.primary {
		return len(d.log)
	}
	now := time.Now()
	n := 0
	for n < len(d.log) && !d.appliedAt[n].After(now) {
		n++
	}
	return n
}

func (d *database) positionAt(n int) string {
	if n == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", d.log[n-1].term, n)
}

func (d *database) position() string {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	return d.positionAt(d.applied())
}

// promote makes a database the primary of the next term, with what it had received
// when the promotion took effect. It returns the HTTP status.
func (s *service) promote(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.members, func(d *database) bool { return d.id == id })
	if i < 0 || s.members[i].down {
		return 409
	}
	if s.members[i] == s.leading() {
		return 200
	}
	time.AfterFunc(promoteDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		d := s.members[i]
		if d.down || d.primary {
			return
		}
		d.primary, d.term = true, s.leading().term+1
		log := slices.Clone(d.log)
		s.promotions = append(s.promotions, promotion{time.Now(), id, log})
		s.record.add("promote", "database=%s term=%d position=%s", id, d.term, d.positionAt(len(log)))
		go s.roleChanged(d)
	})
	return 200
}

// take waits for a slot. It reports false if too many statements wait.
func (d *database) take() bool {
	s := d.service
	s.mu.Lock()
	if d.waiting >= queueLimit {
		s.mu.Unlock()
		return false
	}
	d.waiting++
	s.mu.Unlock()
	d.slot <- struct{}{}
	s.mu.Lock()
	d.waiting--
	s.mu.Unlock()
	return true
}

func (d *database) release() { <-d.slot }

// dbSession is one connection to a database.
type dbSession struct {
	d        *database
	conn     net.Conn
	tx       bool
	readOnly bool
	failed   bool
	writes   map[string]string
	ids      []string
	prepared map[string]string
}

func (d *database) serve(c net.Conn) {
	d.mu.Lock()
	full := len(d.conns) >= d.service.maxConns
	if !full {
		d.conns[c] = struct{}{}
	}
	d.mu.Unlock()
	defer func() {
		c.Close()
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	l, err := reader.ReadString('\n')
	f := strings.Fields(l)
	switch {
	case err != nil:
		return
	case full:
		fmt.Fprintf(c, "ERROR CONNLIMIT %s\r\n", d.id)
		return
	case len(f) < 3 || f[0] != "STARTUP" || f[1] != d.service.name || len(f) > 3 && f[3] != d.id:
		fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", d.id)
		return
	}
	if !d.take() {
		fmt.Fprintf(c, "ERROR BUSY %s\r\n", d.id)
		return
	}
	time.Sleep(handshakeTime)
	d.release()
	fmt.Fprintf(c, "READY I %s\r\n", d.position())
	t := &dbSession{d: d, conn: c, prepared: make(map[string]string)}
	for {
		l, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(l, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer := t.query(id, text)
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", answer, t.state(), d.position()); err != nil {
			return
		}
	}
}

func (t *dbSession) state() string {
	switch {
	case t.failed:
		return "E"
	case t.tx:
		return "T"
	}
	return "I"
}

func (t *dbSession) fail(code, text string) string {
	t.failed = t.tx
	return "ERROR " + code + " " + cmp.Or(text, "-") + "\r\n"
}

func (t *dbSession) reset() { t.tx, t.failed, t.writes, t.ids = false, false, nil, nil }

// query runs one statement and returns the answer without READY.
func (t *dbSession) query(id, text string) string {
	d, s := t.d, t.d.service
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTERLSN "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := t.prepared[name]
		if !ok {
			return t.fail("NOSTMT", name)
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = args
	}
	if t.failed && word != "ROLLBACK" && word != "COMMIT" {
		return "ERROR MALFORMED failed\r\n"
	}
	const complete = "COMPLETE -\r\n"
	switch word {
	case "SET", "DEALLOC":
		return complete
	case "DISCARD":
		clear(t.prepared)
		return complete
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		t.prepared[name] = shape
		return complete
	case "ROLLBACK":
		t.reset()
		return complete
	case "BEGIN":
		s.mu.Lock()
		defer s.mu.Unlock()
		if after != "" && !d.holds(after) {
			return t.fail("LAGGING", after)
		}
		if rest == "" && !d.primary {
			return t.fail("READONLY", d.id)
		}
		t.tx, t.readOnly = true, rest != ""
		return complete
	case "STATUS", "STEPDOWN":
		return d.control(word, rest)
	case "FETCH", "STORE", "COMMIT":
		return t.work(id, word, rest, after)
	}
	return t.fail("MALFORMED", word)
}

// control runs STATUS, which gets BUSY while no slot is free, or STEPDOWN.
func (d *database) control(word, rest string) string {
	s := d.service
	if word == "STATUS" {
		select {
		case d.slot <- struct{}{}:
			time.Sleep(controlTime)
			d.release()
		default:
			s.record.add("status", "database=%s answer=BUSY slots=%d waiting=%d", d.id, len(d.slot), d.queued())
			return "ERROR BUSY " + d.id + "\r\n"
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, err := strconv.ParseUint(rest, 10, 64); word == "STEPDOWN" && err == nil && d.primary && t > d.term {
		d.primary, d.term = false, t
		go s.roleChanged(d)
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	if word == "STATUS" {
		s.record.add("status", "database=%s answer=%s received=%s", d.id, role, d.positionAt(len(d.log)))
	}
	return fmt.Sprintf("DATAROW %s %d %s %d %d %d %d\r\nCOMPLETE -\r\n", role, d.term, d.positionAt(len(d.log)), d.term, d.lag.Milliseconds(), len(d.slot), 0)
}

func (d *database) queued() int {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	return d.waiting
}

// holds reports whether reads see the position. The caller holds the service's mutex.
func (d *database) holds(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	index, _ := strconv.Atoi(n)
	return index == 0 || index <= d.applied() && d.log[index-1].term == term
}

// workTime returns the slot time of a statement: an item may name its own, such as
// w250-pot.
func (s *service) timeOf(word, rest string) time.Duration {
	if ms, _, ok := strings.Cut(strings.TrimPrefix(rest, "w"), "-"); ok && word == "FETCH" {
		if n, err := strconv.Atoi(ms); err == nil {
			return time.Duration(n) * time.Millisecond
		}
	}
	return s.workTime
}

// work runs a read, a write or a commit in a slot.
func (t *dbSession) work(id, word, rest, after string) string {
	d, s := t.d, t.d.service
	if !d.take() {
		return t.fail("BUSY", d.id)
	}
	s.mu.Lock()
	s.ran[id] = time.Now()
	if after != "" && !d.holds(after) {
		delete(s.ran, id)
		s.mu.Unlock()
		d.release()
		return t.fail("LAGGING", after)
	}
	s.mu.Unlock()
	s.record.add("run", "database=%s id=%s %s %.40s", d.id, id, word, rest)
	time.Sleep(s.timeOf(word, rest))
	answer, index := t.finish(id, word, rest)
	d.release()
	if index > 0 && !d.awaitReplicas(index) {
		return "ERROR TIMEOUT " + d.id + "\r\n"
	}
	return answer
}

// finish carries out a statement and returns the answer, and the index of the commit
// if it made one.
func (t *dbSession) finish(id, word, rest string) (string, int) {
	d, s := t.d, t.d.service
	s.mu.Lock()
	defer s.mu.Unlock()
	signed := fmt.Sprintf("COMPLETE %s.%s\r\n", d.id, id)
	switch word {
	case "FETCH":
		value, found := t.writes[rest]
		for i := d.applied() - 1; i >= 0 && !found; i-- {
			value, found = d.log[i].writes[rest]
		}
		return fmt.Sprintf("DATAROW %s=%s\r\n%s", rest, cmp.Or(value, "none"), signed), 0
	case "STORE":
		if !d.primary || t.tx && t.readOnly {
			return t.fail("READONLY", d.id), 0
		}
		if t.writes == nil {
			t.writes = make(map[string]string)
		}
		item, value, _ := strings.Cut(rest, " ")
		t.writes[item] = value
		t.ids = append(t.ids, id)
		if t.tx {
			return signed, 0
		}
	}
	failed, wrote := t.failed, len(t.ids) > 0
	e := logEntry{d.term, time.Now(), t.writes, t.ids}
	t.reset()
	switch {
	case failed || wrote && !d.primary:
		return "ERROR READONLY " + d.id + "\r\n", 0
	case !wrote:
		return signed, 0
	}
	d.log, d.appliedAt = append(d.log, e), append(d.appliedAt, e.at)
	return signed, len(d.log)
}

// awaitReplicas waits until syncReplicas replicas have received the commit.
func (d *database) awaitReplicas(index int) bool {
	s := d.service
	for until := time.Now().Add(syncTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		n := 0
		for _, r := range s.members {
			if r != d && len(r.log) >= index {
				n++
			}
		}
		s.mu.Unlock()
		if n >= s.syncReplicas {
			return true
		}
	}
	return false
}
