package front

import (
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/route"
)

// op is one message of a batch, as far as the session has to know it.
type op struct {
	kind   byte // P, B, D, E or C
	object byte // S or P
	stmt   *prepared
}

// batch gathers the messages of the extended protocol up to a Sync or Flush.
type batch struct {
	frames  []byte
	ops     []op
	uses    []pollendoor.Prepared
	parsed  []string // names of statements that targets have or get
	shape   []byte
	digest  *digest
	fail    *pollendoor.Refusal
	flushed bool     // part of it has been sent with Flush
	begins  bool     // opens a transaction
	fresh   []string // names that the caller gave to statements in this batch
	parses  int      // of those, how many the target has confirmed
}

func (b *batch) reset() {
	*b = batch{frames: b.frames[:0], ops: b.ops[:0], uses: b.uses[:0], shape: b.shape[:0], fresh: b.fresh[:0], parsed: b.parsed[:0]}
}

// add appends a message under the names that targets know.
func (b *batch) add(m pgproto3.FrontendMessage, o op) {
	frames, err := m.Encode(b.frames)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "a message that was read did not encode"))
	}
	if len(frames) > maxBatch {
		b.failWith(pollendoor.Refuse("54000", "the batch is too long", ""))
		return
	}
	b.frames = frames
	b.ops = append(b.ops, o)
	b.shape = append(b.shape, o.kind)
}

func (b *batch) failWith(r *pollendoor.Refusal) {
	if b.fail == nil {
		b.fail = r
	}
}

// use notes that the batch needs a statement that an earlier one parsed.
func (b *batch) use(st *prepared) {
	if slices.Contains(b.parsed, st.Name) {
		return
	}
	b.uses = append(b.uses, st.Prepared)
	b.parsed = append(b.parsed, st.Name)
}

func (b *batch) sum() *digest {
	if b.digest == nil {
		b.digest = newDigest()
	}
	return b.digest
}

func (s *session) parse(m *pgproto3.Parse) {
	st, err := route.Classify(m.Query)
	if err != nil {
		s.batch.failWith(pollendoor.Refuse(pollendoor.CodeBadSetting, err.Error(), ""))
		return
	}
	if st.Kind == route.Refused {
		s.batch.failWith(notCarried(st))
		return
	}
	if m.Name != "" && s.stmts[m.Name] != nil {
		s.batch.failWith(pollendoor.Refuse("42P05", "prepared statement "+strconv.Quote(m.Name)+" exists already", ""))
		return
	}
	if len(s.stmts) >= maxStatements {
		s.batch.failWith(pollendoor.Refuse("54000", "too many prepared statements in this session", ""))
		return
	}
	p := &prepared{statement: st}
	p.SQL = m.Query
	p.OIDs = slices.Clone(m.ParameterOIDs)
	if m.Name != "" {
		p.Name = statementName(p.SQL, p.OIDs)
	}
	s.stmts[m.Name] = p
	s.batch.fresh = append(s.batch.fresh, m.Name)
	s.batch.parsed = append(s.batch.parsed, p.Name)
	s.batch.add(&pgproto3.Parse{Name: p.Name, Query: p.SQL, ParameterOIDs: p.OIDs}, op{kind: 'P', stmt: p})
}

func notCarried(st route.Statement) *pollendoor.Refusal {
	return pollendoor.Refuse(pollendoor.CodeNotSupported, st.Verb+" is not carried over pooled connections", "")
}

func (s *session) bind(m *pgproto3.Bind) {
	st := s.stmts[m.PreparedStatement]
	if st == nil {
		s.batch.failWith(pollendoor.Refuse("26000", "prepared statement "+strconv.Quote(m.PreparedStatement)+" does not exist", ""))
		return
	}
	s.portals[m.DestinationPortal] = st
	s.batch.use(st)
	s.batch.begins = s.batch.begins || st.statement.Kind == route.Begin
	if s.mayBeKeyed(st) {
		d := s.batch.sum()
		d.statement(st.SQL)
		d.params(m)
	}
	bound := *m
	bound.PreparedStatement = st.Name
	s.batch.add(&bound, op{kind: 'B', stmt: st})
	for _, c := range m.ResultFormatCodes {
		s.batch.shape = append(s.batch.shape, '0'+byte(c))
	}
}

// mayBeKeyed reports whether a request id stands for the statement, or may yet
// come with the end of its transaction.
func (s *session) mayBeKeyed(st *prepared) bool {
	return s.status != 'I' || s.batch.begins || st.statement.Hints.RequestID != "" ||
		s.wishes.RequestID != "" || s.local.RequestID != ""
}

func (s *session) describe(m *pgproto3.Describe) {
	table, name := s.portals, m.Name
	if m.ObjectType == 'S' {
		table = s.stmts
	}
	st := table[m.Name]
	if st == nil {
		s.batch.failWith(pollendoor.Refuse("26000", strconv.Quote(m.Name)+" does not exist", ""))
		return
	}
	if m.ObjectType == 'S' {
		s.batch.use(st)
		name = st.Name
	}
	s.batch.add(&pgproto3.Describe{ObjectType: m.ObjectType, Name: name}, op{kind: 'D', object: m.ObjectType, stmt: st})
}

func (s *session) execute(m *pgproto3.Execute) {
	st := s.portals[m.Portal]
	if st == nil {
		s.batch.failWith(pollendoor.Refuse("34000", "portal "+strconv.Quote(m.Portal)+" does not exist", ""))
		return
	}
	s.batch.add(m, op{kind: 'E', stmt: st})
}

func (s *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(s.stmts, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.batch.add(m, op{kind: 'C', object: m.ObjectType})
}

// runBatch runs what was gathered, at a Sync or a Flush.
func (s *session) runBatch(flush bool) {
	b := &s.batch
	if flush && len(b.ops) == 0 && b.fail == nil {
		return
	}
	refusal := b.fail
	if refusal == nil {
		refusal = s.dispatch(flush)
	}
	if refusal != nil {
		s.refuse(refusal)
		s.abandonTx()
		s.skip = flush
	}
	if !s.allLocal() {
		s.forgetUnparsed()
	}
	flushed := flush && refusal == nil && !s.allLocal()
	b.reset()
	b.flushed = flushed
	if !flush {
		s.afterExchange()
		s.ready()
	}
}

// forgetUnparsed forgets the statements of the batch that no target has
// confirmed, so that the caller may parse them again.
func (s *session) forgetUnparsed() {
	for _, name := range s.batch.fresh[min(s.batch.parses, len(s.batch.fresh)):] {
		delete(s.stmts, name)
	}
}

// dispatch answers a batch here or has it run at the group's home.
func (s *session) dispatch(flush bool) *pollendoor.Refusal {
	b := &s.batch
	if s.failed {
		return s.runFailed()
	}
	if !b.flushed && s.allLocal() {
		return s.runLocals()
	}
	w := work{frames: b.frames, uses: b.uses, shape: string(b.shape), flush: flush, flushed: b.flushed}
	for _, o := range b.ops {
		if o.kind != 'E' {
			continue
		}
		if isLocal(o.stmt.statement) {
			return mixed(o.stmt.statement)
		}
		w.statements = append(w.statements, o.stmt.statement)
	}
	if b.digest != nil {
		w.digest = b.digest
	}
	if len(w.statements) == 0 {
		w.describes = true
	}
	end := pgproto3.FrontendMessage(&pgproto3.Sync{})
	if flush {
		end = &pgproto3.Flush{}
	}
	frames, err := end.Encode(w.frames)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "a sync did not encode"))
	}
	w.frames = frames
	return s.run(&w)
}

func mixed(st route.Statement) *pollendoor.Refusal {
	return pollendoor.Refuse(pollendoor.CodeNotSupported, st.Verb+" "+st.Name+" can't share a batch with other statements, send it on its own", "")
}

// allLocal reports whether no message of the batch needs a target.
func (s *session) allLocal() bool {
	for _, o := range s.batch.ops {
		if o.kind != 'C' && !isLocal(o.stmt.statement) {
			return false
		}
	}
	return true
}

// runLocals answers a batch of statements of the session itself.
func (s *session) runLocals() *pollendoor.Refusal {
	return s.answerOps(func(st route.Statement) *pollendoor.Refusal {
		a, r := s.runLocal(st)
		if r == nil {
			s.sendAnswer(a)
		}
		return r
	})
}

// answerOps answers the messages of a batch without a target; execute answers
// the statements that run.
func (s *session) answerOps(execute func(route.Statement) *pollendoor.Refusal) *pollendoor.Refusal {
	for _, o := range s.batch.ops {
		switch o.kind {
		case 'P':
			s.send(&pgproto3.ParseComplete{})
		case 'B':
			s.send(&pgproto3.BindComplete{})
		case 'C':
			s.send(&pgproto3.CloseComplete{})
		case 'D':
			s.describeLocal(o)
		case 'E':
			if r := execute(o.stmt.statement); r != nil {
				return r
			}
		}
	}
	return nil
}

func (s *session) describeLocal(o op) {
	if o.object == 'S' {
		s.send(&pgproto3.ParameterDescription{})
	}
	if o.stmt.statement.Kind != route.Show {
		s.send(&pgproto3.NoData{})
		return
	}
	s.send(textColumn(o.stmt.statement.Name))
}

func textColumn(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// sendAnswer sends the answer of a statement of the session itself, without the
// description of its row.
func (s *session) sendAnswer(a answer) {
	if a.tag == "" {
		s.send(&pgproto3.EmptyQueryResponse{})
		return
	}
	if a.rows {
		s.send(&pgproto3.DataRow{Values: [][]byte{[]byte(a.value)}})
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
}

// runFailed answers a batch within a transaction that was lost: only its end is
// taken.
func (s *session) runFailed() *pollendoor.Refusal {
	for _, o := range s.batch.ops {
		if o.kind == 'C' {
			continue
		}
		if k := o.stmt.statement.Kind; k != route.Rollback && k != route.Commit {
			return txFailed()
		}
	}
	return s.answerOps(func(route.Statement) *pollendoor.Refusal {
		s.endFailed()
		return nil
	})
}

func (s *session) endFailed() {
	s.failed = false
	s.status = 'I'
	s.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
}

func txFailed() *pollendoor.Refusal {
	return pollendoor.Refuse(pollendoor.CodeFailedTx, "the transaction was lost, end it with ROLLBACK", "")
}
