package membudget

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Whatever holders reserve and release, the budget is kept, and holders that take all they can leave half of it to those
// that have nothing, each of which may take half of what is free.
func TestHoldersThatTakeAllLeaveHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 10_000
		budget := New(limit)
		held := make([]int, rapid.IntRange(1, 9).Draw(t, "holders"))
		used := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(held)-1).Draw(t, "holder")
			if rapid.Bool().Draw(t, "release") {
				budget.Release(held[i])
				used, held[i] = used-held[i], 0
				continue
			}
			bytes := rapid.IntRange(1, limit/20).Draw(t, "bytes")
			fits := budget.Fits(held[i], bytes)
			if taken := budget.Reserve(held[i], bytes); taken != fits {
				t.Fatalf("fits %v, reserved %v", fits, taken)
			} else if taken {
				used, held[i] = used+bytes, held[i]+bytes
			}
			if budget.Used() != used || used > limit {
				t.Fatalf("%d bytes in use by the budget, %d by its holders, limit %d", budget.Used(), used, limit)
			}
		}
		if used > limit/2 {
			return // first reservations alone may use the whole budget
		}
		for i := range held {
			for budget.Reserve(held[i], 1) {
				held[i]++
			}
		}
		if !budget.Reserve(0, limit/4) {
			t.Fatalf("a quarter of the budget does not fit beside %d holders: %d of %d in use", len(held), budget.Used(), limit)
		}
	})
}

func TestBytesThatCannotBeRefusedKeepOthersOut(t *testing.T) {
	budget := New(100)
	budget.Add(130)
	if budget.Fits(0, 1) || budget.Reserve(0, 1) {
		t.Error("a byte fits into a budget that is exceeded")
	}
	budget.Release(130)
	if budget.Reserve(0, 51) || !budget.Reserve(0, 50) || !budget.Reserve(0, 25) || budget.Used() != 75 {
		t.Error("the budget must be free again")
	}
	if budget.ReserveFurther(0, 1) || budget.Used() != 75 {
		t.Error("a further byte fits although the first half is used up")
	}
	if budget.Release(60); budget.ReserveFurther(0, 36) || !budget.ReserveFurther(0, 35) || budget.Used() != 50 {
		t.Error("what is free of the first half must be available")
	}
	var unlimited *Budget
	if unlimited.Add(1); !unlimited.Reserve(1<<40, 1<<40) || !unlimited.Fits(0, 1) || unlimited.Used() != 0 {
		t.Error("no budget must mean no limit")
	}
}
