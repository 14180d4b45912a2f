// Package membudget bounds the memory that the work of many holders takes together, such as the commands and answers of
// connections. It has no I/O, no clock and no goroutine.
//
// The limits are dynamic thresholds, as in shared packet buffers. A holder that has nothing may take half of what is free, so
// that where long work no longer fits there is room for short work. One that has something may take more only from the first
// half of the budget, and only while its total does not exceed what is free there. However many holders take all they can,
// the second half therefore stays free for those that have nothing.
package membudget

import "sync/atomic"

// Budget is a number of bytes that holders share. It is safe for concurrent use. A nil Budget has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of that many bytes, at least 1.
func New(limitBytes int) *Budget { return &Budget{limit: int64(max(limitBytes, 1))} }

// Fits reports whether a holder that has heldBytes may take more bytes now.
func (budget *Budget) Fits(heldBytes, bytes int) bool {
	return budget == nil || budget.fits(budget.used.Load(), heldBytes, bytes)
}

func (budget *Budget) fits(used int64, heldBytes, bytes int) bool {
	if heldBytes == 0 {
		return used+2*int64(bytes) <= budget.limit
	}
	return budget.fitsFurther(used, heldBytes, bytes)
}

func (budget *Budget) fitsFurther(used int64, heldBytes, bytes int) bool {
	return int64(heldBytes)+int64(bytes) <= budget.limit/2-used
}

// Reserve takes bytes for a holder that has heldBytes, and reports false if it may not take them.
func (budget *Budget) Reserve(heldBytes, bytes int) bool {
	return budget == nil || budget.reserve(budget.fits, heldBytes, bytes)
}

// ReserveFurther is Reserve for a holder that counts as having something, whatever heldBytes is: its part comes from the first
// half.
func (budget *Budget) ReserveFurther(heldBytes, bytes int) bool {
	return budget == nil || budget.reserve(budget.fitsFurther, heldBytes, bytes)
}

func (budget *Budget) reserve(fits func(used int64, heldBytes, bytes int) bool, heldBytes, bytes int) bool {
	for {
		used := budget.used.Load()
		if !fits(used, heldBytes, bytes) {
			return false
		}
		if budget.used.CompareAndSwap(used, used+int64(bytes)) {
			return true
		}
	}
}

// Add takes bytes that are in use already and can't be refused. The budget may be exceeded; nothing then fits until enough
// is released.
func (budget *Budget) Add(bytes int) {
	if budget != nil {
		budget.used.Add(int64(bytes))
	}
}

// Release gives bytes back.
func (budget *Budget) Release(bytes int) { budget.Add(-bytes) }

// Used returns the bytes taken now.
func (budget *Budget) Used() int {
	if budget == nil {
		return 0
	}
	return int(budget.used.Load())
}
