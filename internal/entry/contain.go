package entry

import (
	"log/slog"
	"runtime/debug"
)

// unexpectedFailure is the reason of refusals after a failure of the program itself.
const unexpectedFailure = "unexpected-failure"

// contain calls f. If the program fails unexpectedly in it, that is logged and counted and
// ends f alone: f runs in a goroutine of its own, so it would end the process. It reports
// whether f has returned normally.
func (h *Handler) contain(f func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			h.metrics.count("Panics")
			h.logger.Error("attempt failed unexpectedly",
				slog.Any("Error", cause),
				slog.String("Stack", string(debug.Stack())))
		}
	}()
	f()
	return true
}
