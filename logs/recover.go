package logs

import (
	"runtime/debug"

	"github.com/rs/zerolog"
)

// RecoverPanic recovers from a panic and logs it with its stack. It must be deferred by the
// function that handles one message or connection, so that a panic ends only that work and
// not the process. what names the kind of work in the log line.
func RecoverPanic(log *zerolog.Logger, what string) {
	if v := recover(); v != nil {
		log.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Msg(what + " given up")
	}
}
