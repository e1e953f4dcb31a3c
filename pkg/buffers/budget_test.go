package buffers_test

import (
	"testing"

	"ironhollow/pkg/buffers"
)

// Guards against buffers beyond the budget, and against bytes that stay taken after a refusal.
func TestBudgetIsNotExceeded(t *testing.T) {
	b := buffers.NewBudget(10)
	for _, step := range []struct {
		take, giveBack, wantUsed int64
		want                     bool
	}{{6, 0, 6, true}, {5, 0, 6, false}, {4, 0, 10, true}, {1, 0, 10, false}, {0, 6, 4, true}, {6, 0, 10, true}} {
		b.Return(step.giveBack)
		if got := b.Take(step.take); got != step.want || b.Used() != step.wantUsed {
			t.Errorf("take %d after returning %d: got %t with %d used, want %t with %d", step.take, step.giveBack, got, b.Used(), step.want, step.wantUsed)
		}
	}
}
