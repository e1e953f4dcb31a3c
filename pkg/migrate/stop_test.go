package migrate_test

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"

	"ironhollow/pkg/migrate"
)

// scriptedCalls answers copies in turn; the last answer is repeated.
type scriptedCalls struct {
	migrate.Calls
	answers []migrate.CopyAnswer
	asked   int
}

func (c *scriptedCalls) Copy(_ context.Context, r migrate.CopyRequest) migrate.CopyAnswer {
	answer := c.answers[min(c.asked, len(c.answers)-1)]
	if c.asked++; !r.Stop {
		answer = migrate.CopyAnswer{Result: migrate.Copied}
	}
	return answer
}

// Guards against runs that continue since a call to stop them was lost or met another call.
func TestStopIsRepeatedUntilAnswered(t *testing.T) {
	refused := migrate.CopyAnswer{Result: migrate.NotSent, Err: syscall.ECONNREFUSED}
	copied := migrate.CopyAnswer{Result: migrate.Copied, Handle: "h"}
	lost := migrate.CopyAnswer{Result: migrate.Unknown, Err: errors.New("lost")}
	for _, c := range []struct {
		name    string
		answers []migrate.CopyAnswer
		want    migrate.RunState
		handle  string
		asked   int
	}{
		{"copied", []migrate.CopyAnswer{copied}, migrate.WasCopied, "h", 1},
		{"no run", []migrate.CopyAnswer{{Result: migrate.NoRun}}, migrate.HasEnded, "", 1},
		{"no process", []migrate.CopyAnswer{refused}, migrate.IsGone, "", 1},
		{"target has no room", []migrate.CopyAnswer{{Result: migrate.NoRoom, Handle: "h"}}, migrate.WasStopped, "h", 1},
		{"lost, then ended", []migrate.CopyAnswer{lost, {Result: migrate.NoRun}}, migrate.HasEnded, "", 2},
		{"busy, then copied", []migrate.CopyAnswer{{Result: migrate.Busy}, copied}, migrate.WasCopied, "h", 2},
		{"refused without a handle", []migrate.CopyAnswer{{Result: migrate.NoRoom}}, migrate.MayContinue, "", 4},
		{"never answered", []migrate.CopyAnswer{lost}, migrate.MayContinue, "", 4},
	} {
		calls := &scriptedCalls{answers: c.answers}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		state, handle := migrate.Stop(ctx, calls, migrate.CopyRequest{RunID: "run"})
		cancel()
		if state != c.want || handle != c.handle || calls.asked != c.asked {
			t.Errorf("%s: got %v, handle %q after %d calls, want %v, %q, %d", c.name, state, handle, calls.asked, c.want, c.handle, c.asked)
		}
	}
}
