package logs

import (
	"runtime/debug"

	"github.com/rs/zerolog"
)

// RecoverPanic is deferred around the work on one message or connection: a panic there is
// logged with its stack and ends that work, not the process.
func RecoverPanic(log *zerolog.Logger, what string) {
	if v := recover(); v != nil {
		log.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Msg(what + " given up")
	}
}
