package pollendoor

import "fmt"

// Outcome reports whether a statement ran. NotRun is used only if the statement
// certainly did not run. If that is uncertain, the outcome is Unknown.
type Outcome string

// The outcomes of a statement.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// SQLSTATE codes of the system's own refusals.
const (
	CodeRateExceeded  = "53400" // configuration_limit_exceeded
	CodeQueueFull     = "53300" // too_many_connections
	CodeNoPrimary     = "57P03" // cannot_connect_now
	CodeShutdown      = "57P01" // admin_shutdown
	CodeUnknown       = "08007" // transaction_resolution_unknown
	CodeBadKey        = "28P01" // invalid_password
	CodeDenied        = "42501" // insufficient_privilege
	CodeDeadline      = "57014" // query_canceled
	CodeNotSupported  = "0A000" // feature_not_supported
	CodeProtocol      = "08P01" // protocol_violation
	CodeBadSetting    = "22023" // invalid_parameter_value
	CodeNoRoute       = "3D000" // invalid_catalog_name
	CodeIDConflict    = "23505" // unique_violation
	CodeReadOnly      = "25006" // read_only_sql_transaction
	CodeLostWrite     = "40003" // statement_completion_unknown
	CodeFailedTx      = "25P02" // in_failed_sql_transaction
	CodeNoSavedAnswer = "02000" // no_data
)

// Refusal is an error that the system itself returns to the caller instead of a
// target's answer. Its outcome is sent in the detail field of the error message.
type Refusal struct {
	Code    string  // SQLSTATE
	Outcome Outcome `cbor:"Fate"` // outcome of the refused statement; other VMs read it under the key Fate
	Message string
	Cause   string // reason for explain and logs; callers receive it as the hint
}

// Error returns the message with the SQLSTATE code.
func (r *Refusal) Error() string { return fmt.Sprintf("%s (SQLSTATE %s)", r.Message, r.Code) }

// Detail returns the machine-readable detail field, such as outcome=notRun.
func (r *Refusal) Detail() string { return "outcome=" + string(r.Outcome) }

// Refuse returns a refusal for a statement that certainly did not run.
func Refuse(code, message, cause string) *Refusal {
	return &Refusal{Code: code, Outcome: NotRun, Message: message, Cause: cause}
}

// RefuseUnknown returns a refusal for a statement that may or may not have run.
func RefuseUnknown(message, cause string) *Refusal {
	return &Refusal{Code: CodeUnknown, Outcome: Unknown, Message: message, Cause: cause}
}
