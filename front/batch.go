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

// batchEntry holds what the session needs of one message of a batch.
type batchEntry struct {
	messageType byte               // type of the protocol message: P, B, D, E or C
	objectType  byte               // of a Describe or Close: S for a statement, P for a portal
	prepared    *preparedStatement // nil for a Close
}

// batch collects the messages of the extended protocol up to a Sync or Flush.
type batch struct {
	frames          []byte // encoded messages with the statement names used at targets
	entries         []batchEntry
	usedStatements  []pollendoor.Prepared // statements that an earlier batch parsed
	parsedNames     []string              // statement names that the target has, or gets with this batch
	answerShape     []byte                // message types and result formats, which determine the encoding of the answer
	digest          *digest               // digest of statements and parameters; nil if no request ID can apply
	refusal         *pollendoor.Refusal   // first error found before the batch is run
	flushed         bool                  // whether an earlier part was sent with Flush
	opensTx         bool                  // whether a statement of the batch opens a transaction
	newNames        []string              // the caller's names of the statements parsed in this batch
	confirmedParses int                   // number of statements in newNames that the target has confirmed
}

// reset empties the batch and keeps its buffers.
func (b *batch) reset() {
	*b = batch{frames: b.frames[:0], entries: b.entries[:0], usedStatements: b.usedStatements[:0], answerShape: b.answerShape[:0], newNames: b.newNames[:0], parsedNames: b.parsedNames[:0]}
}

// addMessage appends a message, which must contain the statement names used at
// targets. A message over the limit of the batch sets a refusal.
func (b *batch) addMessage(msg pgproto3.FrontendMessage, entry batchEntry) {
	frames, err := msg.Encode(b.frames)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "failed to encode a received message"))
	}
	if len(frames) > maxBatch {
		b.setRefusal(pollendoor.Refuse("54000", "the batch exceeds 32 MiB", ""))
		return
	}
	b.frames = frames
	b.entries = append(b.entries, entry)
	b.answerShape = append(b.answerShape, entry.messageType)
}

// setRefusal sets the refusal of the batch unless there is one already.
func (b *batch) setRefusal(refusal *pollendoor.Refusal) {
	if b.refusal == nil {
		b.refusal = refusal
	}
}

// addUsedStatement records that the batch uses a statement that an earlier batch
// parsed.
func (b *batch) addUsedStatement(prepared *preparedStatement) {
	if slices.Contains(b.parsedNames, prepared.Name) {
		return
	}
	b.usedStatements = append(b.usedStatements, prepared.Prepared)
	b.parsedNames = append(b.parsedNames, prepared.Name)
}

// ensureDigest returns the digest of the batch and creates it if needed.
func (b *batch) ensureDigest() *digest {
	if b.digest == nil {
		b.digest = newDigest()
	}
	return b.digest
}

// handleParse classifies a statement and adds its Parse to the batch. A named
// statement is renamed to the name that all sessions share at the targets.
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
		s.batch.setRefusal(pollendoor.Refuse("42P05", "prepared statement "+strconv.Quote(msg.Name)+" already exists", ""))
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

// unsupportedRefusal returns the refusal of a command that pooled connections do
// not support.
func unsupportedRefusal(statement route.Statement) *pollendoor.Refusal {
	return pollendoor.Refuse(pollendoor.CodeNotSupported, statement.Verb+" is not supported over pooled connections", "")
}

// handleBind adds a Bind to the batch, with the statement's name at the targets,
// and to the digest if a request ID may apply.
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

// mayHaveRequestID reports whether a request ID is set for the statement, or may
// still be set at the end of its transaction.
func (s *session) mayHaveRequestID(prepared *preparedStatement) bool {
	return s.txStatus != 'I' || s.batch.opensTx || prepared.statement.Hints.RequestID != "" ||
		s.hints.RequestID != "" || s.txHints.RequestID != ""
}

// handleDescribe adds a Describe of a statement or portal to the batch.
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

// handleExecute adds the Execute of a portal to the batch.
func (s *session) handleExecute(msg *pgproto3.Execute) {
	prepared := s.portals[msg.Portal]
	if prepared == nil {
		s.batch.setRefusal(pollendoor.Refuse("34000", "portal "+strconv.Quote(msg.Portal)+" does not exist", ""))
		return
	}
	s.batch.addMessage(msg, batchEntry{messageType: 'E', prepared: prepared})
}

// handleClose removes a statement or portal and adds the Close to the batch.
func (s *session) handleClose(msg *pgproto3.Close) {
	if msg.ObjectType == 'S' {
		delete(s.statements, msg.Name)
	} else {
		delete(s.portals, msg.Name)
	}
	s.batch.addMessage(msg, batchEntry{messageType: 'C', objectType: msg.ObjectType})
}

// runBatch runs the collected batch at a Sync or, if flush is true, at a Flush.
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

// forgetUnconfirmedStatements removes the statements of the batch that no target
// has confirmed, so that the caller can parse them again under the same names.
func (s *session) forgetUnconfirmedStatements() {
	for _, name := range s.batch.newNames[min(s.batch.confirmedParses, len(s.batch.newNames)):] {
		delete(s.statements, name)
	}
}

// dispatch answers a batch in the session, or has it run by the group's home VM if
// it needs a target.
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
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "failed to encode a Sync or Flush"))
	}
	request.frames = frames
	return s.runAtTarget(&request)
}

// mixedBatchRefusal returns the refusal of a statement that the session answers
// itself but that is in a batch with other statements.
func mixedBatchRefusal(statement route.Statement) *pollendoor.Refusal {
	return pollendoor.Refuse(pollendoor.CodeNotSupported, statement.Verb+" "+statement.Name+" cannot be combined with other statements in a batch, send it separately", "")
}

// batchAnsweredBySession reports whether no message of the batch needs a target.
func (s *session) batchAnsweredBySession() bool {
	for _, entry := range s.batch.entries {
		if entry.messageType != 'C' && !answeredBySession(entry.prepared.statement) {
			return false
		}
	}
	return true
}

// runSessionBatch answers a batch of statements that the session answers itself.
func (s *session) runSessionBatch() *pollendoor.Refusal {
	return s.answerEntries(func(statement route.Statement) *pollendoor.Refusal {
		answer, refusal := s.runSessionStatement(statement)
		if refusal == nil {
			s.sendSessionAnswer(answer)
		}
		return refusal
	})
}

// answerEntries answers the messages of a batch without a target. It calls
// execute to answer each Execute and returns its first refusal.
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

// describeSessionStatement answers the Describe of a statement that the session
// answers itself.
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

// textRowDescription describes a row of one text column.
func textRowDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// sendSessionAnswer sends the answer to a statement that the session answers
// itself, without the row description.
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

// answerFailedTx answers a batch in an aborted transaction: only COMMIT and
// ROLLBACK are accepted, and both end it with a rollback.
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

// endFailedTx ends an aborted transaction and reports it as rolled back.
func (s *session) endFailedTx() {
	s.txFailed = false
	s.txStatus = 'I'
	s.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
}

// failedTxRefusal returns the refusal of a statement in an aborted transaction.
func failedTxRefusal() *pollendoor.Refusal {
	return pollendoor.Refuse(pollendoor.CodeFailedTx, "the transaction is aborted, end it with ROLLBACK", "")
}
