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
type batchEntry struct {
	messageType byte // P, B, D, E or C
	objectType  byte // S or P
	prepared    *preparedStatement
}

// batch gathers the messages of the extended protocol up to a Sync or Flush.
type batch struct {
	frames          []byte
	entries         []batchEntry
	usedStatements  []pollendoor.Prepared
	parsedNames     []string // names of statements that targets have or get
	answerShape     []byte
	digest          *digest
	refusal         *pollendoor.Refusal
	flushed         bool     // part of it has been sent with Flush
	opensTx         bool     // opens a transaction
	newNames        []string // names that the caller gave to statements in this batch
	confirmedParses int      // of those, how many the target has confirmed
}

func (b *batch) reset() {
	*b = batch{frames: b.frames[:0], entries: b.entries[:0], usedStatements: b.usedStatements[:0], answerShape: b.answerShape[:0], newNames: b.newNames[:0], parsedNames: b.parsedNames[:0]}
}

// add appends a message under the names that targets know.
func (b *batch) addMessage(msg pgproto3.FrontendMessage, entry batchEntry) {
	frames, err := msg.Encode(b.frames)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "a message that was read did not encode"))
	}
	if len(frames) > maxBatch {
		b.setRefusal(pollendoor.Refuse("54000", "the batch is too long", ""))
		return
	}
	b.frames = frames
	b.entries = append(b.entries, entry)
	b.answerShape = append(b.answerShape, entry.messageType)
}

func (b *batch) setRefusal(refusal *pollendoor.Refusal) {
	if b.refusal == nil {
		b.refusal = refusal
	}
}

// use notes that the batch needs a statement that an earlier one parsed.
func (b *batch) addUsedStatement(prepared *preparedStatement) {
	if slices.Contains(b.parsedNames, prepared.Name) {
		return
	}
	b.usedStatements = append(b.usedStatements, prepared.Prepared)
	b.parsedNames = append(b.parsedNames, prepared.Name)
}

func (b *batch) ensureDigest() *digest {
	if b.digest == nil {
		b.digest = newDigest()
	}
	return b.digest
}

func (s *session) handleParse(msg *pgproto3.Parse) {
	statement, err := route.Classify(msg.Query)
	if err != nil {
		s.batch.setRefusal(pollendoor.Refuse(pollendoor.CodeBadSetting, err.Error(), ""))
		return
	}
	if statement.Kind == route.Refused {
		s.batch.setRefusal(unsupportedRefusal(statement))
		return
	}
	if msg.Name != "" && s.statements[msg.Name] != nil {
		s.batch.setRefusal(pollendoor.Refuse("42P05", "prepared statement "+strconv.Quote(msg.Name)+" exists already", ""))
		return
	}
	if len(s.statements) >= maxStatements {
		s.batch.setRefusal(pollendoor.Refuse("54000", "too many prepared statements in this session", ""))
		return
	}
	prepared := &preparedStatement{statement: statement}
	prepared.SQL = msg.Query
	prepared.OIDs = slices.Clone(msg.ParameterOIDs)
	if msg.Name != "" {
		prepared.Name = statementName(prepared.SQL, prepared.OIDs)
	}
	s.statements[msg.Name] = prepared
	s.batch.newNames = append(s.batch.newNames, msg.Name)
	s.batch.parsedNames = append(s.batch.parsedNames, prepared.Name)
	s.batch.addMessage(&pgproto3.Parse{Name: prepared.Name, Query: prepared.SQL, ParameterOIDs: prepared.OIDs}, batchEntry{messageType: 'P', prepared: prepared})
}

func unsupportedRefusal(statement route.Statement) *pollendoor.Refusal {
	return pollendoor.Refuse(pollendoor.CodeNotSupported, statement.Verb+" is not carried over pooled connections", "")
}

func (s *session) handleBind(msg *pgproto3.Bind) {
	prepared := s.statements[msg.PreparedStatement]
	if prepared == nil {
		s.batch.setRefusal(pollendoor.Refuse("26000", "prepared statement "+strconv.Quote(msg.PreparedStatement)+" does not exist", ""))
		return
	}
	s.portals[msg.DestinationPortal] = prepared
	s.batch.addUsedStatement(prepared)
	s.batch.opensTx = s.batch.opensTx || prepared.statement.Kind == route.Begin
	if s.mayHaveRequestID(prepared) {
		digest := s.batch.ensureDigest()
		digest.addStatement(prepared.SQL)
		digest.addParams(msg)
	}
	bound := *msg
	bound.PreparedStatement = prepared.Name
	s.batch.addMessage(&bound, batchEntry{messageType: 'B', prepared: prepared})
	for _, c := range msg.ResultFormatCodes {
		s.batch.answerShape = append(s.batch.answerShape, '0'+byte(c))
	}
}

// mayBeKeyed reports whether a request id stands for the statement, or may yet
// come with the end of its transaction.
func (s *session) mayHaveRequestID(prepared *preparedStatement) bool {
	return s.txStatus != 'I' || s.batch.opensTx || prepared.statement.Wishes.RequestID != "" ||
		s.hints.RequestID != "" || s.txHints.RequestID != ""
}

func (s *session) handleDescribe(msg *pgproto3.Describe) {
	table, name := s.portals, msg.Name
	if msg.ObjectType == 'S' {
		table = s.statements
	}
	prepared := table[msg.Name]
	if prepared == nil {
		s.batch.setRefusal(pollendoor.Refuse("26000", strconv.Quote(msg.Name)+" does not exist", ""))
		return
	}
	if msg.ObjectType == 'S' {
		s.batch.addUsedStatement(prepared)
		name = prepared.Name
	}
	s.batch.addMessage(&pgproto3.Describe{ObjectType: msg.ObjectType, Name: name}, batchEntry{messageType: 'D', objectType: msg.ObjectType, prepared: prepared})
}

func (s *session) handleExecute(msg *pgproto3.Execute) {
	prepared := s.portals[msg.Portal]
	if prepared == nil {
		s.batch.setRefusal(pollendoor.Refuse("34000", "portal "+strconv.Quote(msg.Portal)+" does not exist", ""))
		return
	}
	s.batch.addMessage(msg, batchEntry{messageType: 'E', prepared: prepared})
}

func (s *session) handleClose(msg *pgproto3.Close) {
	if msg.ObjectType == 'S' {
		delete(s.statements, msg.Name)
	} else {
		delete(s.portals, msg.Name)
	}
	s.batch.addMessage(msg, batchEntry{messageType: 'C', objectType: msg.ObjectType})
}

// runBatch runs what was gathered, at a Sync or a Flush.
func (s *session) runBatch(flush bool) {
	batch := &s.batch
	if flush && len(batch.entries) == 0 && batch.refusal == nil {
		return
	}
	refusal := batch.refusal
	if refusal == nil {
		refusal = s.dispatch(flush)
	}
	if refusal != nil {
		s.sendError(refusal)
		s.abortTx()
		s.skipToSync = flush
	}
	if !s.batchAnsweredBySession() {
		s.forgetUnconfirmedStatements()
	}
	flushed := flush && refusal == nil && !s.batchAnsweredBySession()
	batch.reset()
	batch.flushed = flushed
	if !flush {
		s.clearEndedTx()
		s.sendReady()
	}
}

// forgetUnparsed forgets the statements of the batch that no target has
// confirmed, so that the caller may parse them again.
func (s *session) forgetUnconfirmedStatements() {
	for _, name := range s.batch.newNames[min(s.batch.confirmedParses, len(s.batch.newNames)):] {
		delete(s.statements, name)
	}
}

// dispatch answers a batch here or has it run at the group's home.
func (s *session) dispatch(flush bool) *pollendoor.Refusal {
	batch := &s.batch
	if s.txFailed {
		return s.answerFailedTx()
	}
	if !batch.flushed && s.batchAnsweredBySession() {
		return s.runSessionBatch()
	}
	request := targetRequest{frames: batch.frames, usedStatements: batch.usedStatements, answerShape: string(batch.answerShape), flush: flush, flushed: batch.flushed}
	for _, entry := range batch.entries {
		if entry.messageType != 'E' {
			continue
		}
		if answeredBySession(entry.prepared.statement) {
			return mixedBatchRefusal(entry.prepared.statement)
		}
		request.statements = append(request.statements, entry.prepared.statement)
	}
	if batch.digest != nil {
		request.digest = batch.digest
	}
	if len(request.statements) == 0 {
		request.withoutExecute = true
	}
	endMessage := pgproto3.FrontendMessage(&pgproto3.Sync{})
	if flush {
		endMessage = &pgproto3.Flush{}
	}
	frames, err := endMessage.Encode(request.frames)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "a sync did not encode"))
	}
	request.frames = frames
	return s.runAtTarget(&request)
}

func mixedBatchRefusal(statement route.Statement) *pollendoor.Refusal {
	return pollendoor.Refuse(pollendoor.CodeNotSupported, statement.Verb+" "+statement.Name+" can't share a batch with other statements, send it on its own", "")
}

// allLocal reports whether no message of the batch needs a target.
func (s *session) batchAnsweredBySession() bool {
	for _, entry := range s.batch.entries {
		if entry.messageType != 'C' && !answeredBySession(entry.prepared.statement) {
			return false
		}
	}
	return true
}

// runLocals answers a batch of statements of the session itself.
func (s *session) runSessionBatch() *pollendoor.Refusal {
	return s.answerEntries(func(statement route.Statement) *pollendoor.Refusal {
		answer, refusal := s.runSessionStatement(statement)
		if refusal == nil {
			s.sendSessionAnswer(answer)
		}
		return refusal
	})
}

// answerOps answers the messages of a batch without a target; execute answers
// the statements that run.
func (s *session) answerEntries(execute func(route.Statement) *pollendoor.Refusal) *pollendoor.Refusal {
	for _, entry := range s.batch.entries {
		switch entry.messageType {
		case 'P':
			s.send(&pgproto3.ParseComplete{})
		case 'B':
			s.send(&pgproto3.BindComplete{})
		case 'C':
			s.send(&pgproto3.CloseComplete{})
		case 'D':
			s.describeSessionStatement(entry)
		case 'E':
			if refusal := execute(entry.prepared.statement); refusal != nil {
				return refusal
			}
		}
	}
	return nil
}

func (s *session) describeSessionStatement(entry batchEntry) {
	if entry.objectType == 'S' {
		s.send(&pgproto3.ParameterDescription{})
	}
	if entry.prepared.statement.Kind != route.Show {
		s.send(&pgproto3.NoData{})
		return
	}
	s.send(textRowDescription(entry.prepared.statement.Name))
}

func textRowDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// sendAnswer sends the answer of a statement of the session itself, without the
// description of its row.
func (s *session) sendSessionAnswer(answer sessionAnswer) {
	if answer.tag == "" {
		s.send(&pgproto3.EmptyQueryResponse{})
		return
	}
	if answer.hasRow {
		s.send(&pgproto3.DataRow{Values: [][]byte{[]byte(answer.value)}})
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(answer.tag)})
}

// runFailed answers a batch within a transaction that was lost: only its end is
// taken.
func (s *session) answerFailedTx() *pollendoor.Refusal {
	for _, entry := range s.batch.entries {
		if entry.messageType == 'C' {
			continue
		}
		if k := entry.prepared.statement.Kind; k != route.Rollback && k != route.Commit {
			return failedTxRefusal()
		}
	}
	return s.answerEntries(func(route.Statement) *pollendoor.Refusal {
		s.endFailedTx()
		return nil
	})
}

func (s *session) endFailedTx() {
	s.txFailed = false
	s.txStatus = 'I'
	s.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
}

func failedTxRefusal() *pollendoor.Refusal {
	return pollendoor.Refuse(pollendoor.CodeFailedTx, "the transaction was lost, end it with ROLLBACK", "")
}
