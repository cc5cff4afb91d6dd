package front

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/route"
)

// noTimeout is the timeout of a statement without a time limit of its own.
const noTimeout = 24 * time.Hour

// targetRequest is a batch or simple query that must run at a target.
type targetRequest struct {
	statements     []route.Statement     // statements to be executed
	frames         []byte                // encoded messages
	usedStatements []pollendoor.Prepared // statements that an earlier batch parsed
	answerShape    string                // message types and result formats, which determine the encoding of the answer
	digest         *digest               // nil if no request ID was known when the batch was bound
	flush          bool                  // whether the request ends in Flush instead of Sync
	flushed        bool                  // whether an earlier part of the batch was sent with Flush
	withoutExecute bool                  // whether the request executes no statement
}

// handleQuery answers one simple query, which may contain several statements.
func (s *session) handleQuery(text string) {
	if refusal := s.runSimpleQuery(text); refusal != nil {
		s.sendError(refusal)
		s.abortTx()
	}
	s.clearEndedTx()
	s.sendReady()
}

// runSimpleQuery runs the statements of a simple query, in the session if they
// need no target.
func (s *session) runSimpleQuery(text string) *pollendoor.Refusal {
	statements := route.Split(text)
	if len(statements) == 0 {
		s.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	request := targetRequest{answerShape: "Q", digest: newDigest()}
	for _, sql := range statements {
		statement, err := route.Classify(sql)
		if err != nil {
			return pollendoor.Refuse(pollendoor.CodeBadSetting, err.Error(), "")
		}
		if statement.Kind == route.Refused {
			return unsupportedRefusal(statement)
		}
		if answeredBySession(statement) && len(statements) > 1 {
			return mixedBatchRefusal(statement)
		}
		request.statements = append(request.statements, statement)
		request.digest.addStatement(sql)
	}
	first := request.statements[0]
	if s.txFailed {
		if len(statements) > 1 || first.Kind != route.Rollback && first.Kind != route.Commit {
			return failedTxRefusal()
		}
		s.endFailedTx()
		return nil
	}
	if answeredBySession(first) {
		return s.runSimpleSessionStatement(first)
	}
	frames, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		return pollendoor.Refuse(pollendoor.CodeProtocol, err.Error(), "")
	}
	request.frames = frames
	return s.runAtTarget(&request)
}

// runSimpleSessionStatement answers a simple query of one statement that the
// session answers itself.
func (s *session) runSimpleSessionStatement(statement route.Statement) *pollendoor.Refusal {
	answer, refusal := s.runSessionStatement(statement)
	if refusal != nil {
		return refusal
	}
	if answer.hasRow {
		s.send(textRowDescription(answer.column))
	}
	s.sendSessionAnswer(answer)
	return nil
}

// runAtTarget checks policy, settings and rate, runs the request at a target and
// reports its outcome to Access.
func (s *session) runAtTarget(request *targetRequest) *pollendoor.Refusal {
	access := s.server.options.Access
	policy, refusal := access.Check(s.grant)
	if refusal != nil {
		return s.closeIfKeyRevoked(refusal)
	}
	exchange, refusal := s.buildExchange(request, policy)
	if refusal != nil {
		return refusal
	}
	start := time.Now()
	observation := pollendoor.Observation{Read: exchange.Class == pollendoor.AnyRead}
	if refusal = s.admit(request); refusal == nil {
		refusal = s.runAdmitted(exchange, &observation)
	}
	if !request.withoutExecute {
		observation.Latency = time.Since(start)
		if refusal != nil {
			observation.Code, observation.Outcome = refusal.Code, refusal.Outcome
		}
		access.Report(s.grant, observation)
	}
	return refusal
}

// runAdmitted runs an admitted exchange, and updates the session's transaction
// status and token from the answer.
func (s *session) runAdmitted(exchange *pollendoor.Exchange, observation *pollendoor.Observation) *pollendoor.Refusal {
	ctx, cancel := context.WithTimeout(context.Background(), exchange.Timeout)
	s.mu.Lock()
	s.cancelExchange = cancel
	s.mu.Unlock()
	answer := s.link.Run(ctx, exchange, s.writeFrames)
	s.mu.Lock()
	s.cancelExchange = nil
	s.mu.Unlock()
	cancel()
	observation.Replica = answer.Replica
	if answer.Refusal != nil {
		if answer.TxStatus == 'E' {
			s.txFailed = true
		}
		if answer.TxStatus == 'I' {
			s.txStatus = 'I'
		}
		return answer.Refusal
	}
	s.txStatus = answer.TxStatus
	s.token.Advance(s.group, answer.Position)
	return nil
}

// closeIfKeyRevoked makes the session close after it has sent the refusal, if the
// refusal means that the key is no longer valid. It returns the refusal.
func (s *session) closeIfKeyRevoked(refusal *pollendoor.Refusal) *pollendoor.Refusal {
	if refusal.Code == pollendoor.CodeBadKey {
		s.requestClose(refusal)
	}
	return refusal
}

// admit counts the reads and writes of the request against the team's rate.
// Transaction control is not counted.
func (s *session) admit(request *targetRequest) *pollendoor.Refusal {
	count := 0
	for _, statement := range request.statements {
		if statement.Kind == route.Read || statement.Kind == route.Write {
			count++
		}
	}
	if count == 0 {
		return nil
	}
	return s.server.options.Access.Admit(s.grant, count)
}

// buildExchange returns the exchange for a request, as the group's home VM runs
// it. Hints of the statement override those of the transaction, and those
// override the session's.
func (s *session) buildExchange(request *targetRequest, policy pollendoor.Policy) (*pollendoor.Exchange, *pollendoor.Refusal) {
	hints := s.hints.OverriddenBy(s.txHints)
	exchange := &pollendoor.Exchange{
		Group:   s.group,
		Team:    s.grant.Team,
		Weight:  policy.Weight,
		Batch:   policy.Batch,
		Class:   pollendoor.AnyRead,
		MaxAge:  policy.MaxAge,
		Timeout: policy.Timeout,
		Ack:     policy.Ack,
		Flush:   request.flush,
		Frames:  request.frames,
		Uses:    request.usedStatements,
		Shape:   request.answerShape,
	}
	for _, statement := range request.statements {
		hints = hints.OverriddenBy(statement.Hints)
		exchange.Begin = exchange.Begin || statement.Kind == route.Begin
		exchange.Commit = exchange.Commit || statement.Kind == route.Commit
		if statement.Kind != route.Read && !(statement.Kind == route.Begin && statement.ReadOnly) {
			exchange.Class = pollendoor.MustWrite
		}
	}
	if hints.Session != "" {
		if refusal := s.applySetting("pollendoor.session", hints.Session, false); refusal != nil {
			return nil, refusal
		}
	}
	if hints.MaxAge > 0 {
		exchange.MaxAge = hints.MaxAge
	}
	if s.statementTimeout > 0 && (exchange.Timeout == 0 || s.statementTimeout < exchange.Timeout) {
		exchange.Timeout = s.statementTimeout
	}
	if exchange.Timeout == 0 {
		exchange.Timeout = noTimeout
	}
	exchange.Position = s.token.At(s.group)
	return exchange, s.assignRequestID(request, exchange, hints)
}

// assignRequestID sets the idempotency key and digest of the exchange: for a
// single write at once, for a transaction at its commit. It refuses request IDs
// in places where they can't be honored.
func (s *session) assignRequestID(request *targetRequest, exchange *pollendoor.Exchange, hints route.Hints) *pollendoor.Refusal {
	id := hints.RequestID
	if s.grant.Team == "" && id != "" {
		return pollendoor.Refuse(pollendoor.CodeNotSupported, "a request id requires a team's key", "")
	}
	if s.txStatus == 'I' && !exchange.Begin {
		if id == "" || exchange.Class == pollendoor.AnyRead || request.withoutExecute {
			return nil
		}
		if len(request.statements) != 1 || request.flush || request.flushed || request.statements[0].Kind != route.Write {
			return pollendoor.Refuse(pollendoor.CodeNotSupported, "a request id requires a single statement or a transaction", "")
		}
		if request.digest == nil {
			return pollendoor.Refuse(pollendoor.CodeNotSupported, "a request id must be set before its statement is bound", "")
		}
		exchange.RequestID, exchange.Digest = id, request.digest.hexString()
		s.hints.RequestID = ""
		return nil
	}
	if exchange.Begin && s.txStatus == 'I' {
		s.txRequestID, s.txDigest = "", newDigest()
		if exchange.Class == pollendoor.AnyRead {
			return nil
		}
	}
	if id != "" {
		s.txRequestID = id
	}
	if exchange.Begin && exchange.Commit && s.txRequestID != "" {
		return pollendoor.Refuse(pollendoor.CodeNotSupported, "a request id requires the COMMIT of its transaction in a separate message", "")
	}
	if request.digest != nil && !request.withoutExecute && !exchange.Commit && s.txDigest != nil {
		s.txDigest.addPart([]byte(request.digest.hexString()))
	}
	if exchange.Commit && s.txRequestID != "" && s.txDigest != nil {
		exchange.RequestID, exchange.Digest = s.txRequestID, s.txDigest.hexString()
		s.hints.RequestID = ""
	}
	return nil
}

// abortTx rolls the open transaction back after a refusal within it, so that the
// caller can't commit only part of it.
func (s *session) abortTx() {
	if s.txStatus == 'I' && !s.batch.flushed {
		return
	}
	s.link.Close()
	if s.txStatus != 'I' {
		s.txFailed = true
		s.txStatus = 'E'
	}
}

// clearEndedTx clears the hints, request ID, digest and portals of a transaction
// that has ended.
func (s *session) clearEndedTx() {
	if s.txStatus != 'I' || s.txFailed {
		return
	}
	s.txHints = route.Hints{}
	s.txRequestID, s.txDigest = "", nil
	clear(s.portals)
}
