package node

import (
	"time"

	"ironhollow/pkg/boottime"
)

// suspendLog is the total suspended time of the machine when it was last logged. Only one goroutine
// uses it.
type suspendLog struct{ logged time.Duration }

// logSuspension logs suspensions of the machine since the last call.
func (n *node) logSuspension() {
	total := boottime.Suspended()
	if total == n.suspendLog.logged {
		return
	}
	n.log.Warn().Dur("suspended", total-n.suspendLog.logged).Msg("the machine was suspended")
	n.suspendLog.logged = total
}
