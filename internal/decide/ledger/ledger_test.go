package ledger_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/decide/ledger"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/resource"
)

func TestReserveRefuses(t *testing.T) {
	capacity := resource.Vector{Milliprocessors: 1000, MemoryMebibytes: 1000, Slots: 2}
	small := resource.Vector{Milliprocessors: 600, MemoryMebibytes: 1, Slots: 1}
	scenarios := []struct {
		testName string
		worker   string
		attempt  string
		expected ledger.Kind
	}{
		{"size exceeds the free capacity", "w", "second", ledger.KindDoesNotFit},
		{"attempt has a reservation", "other", "first", ledger.KindDuplicate},
		{"unknown worker", "nobody", "second", ledger.KindUnknownWorker},
		{"valid reservation", "other", "second", ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			l := ledger.New()
			is.NoErr(l.AddWorker("w", "r", capacity))
			is.NoErr(l.AddWorker("other", "r", capacity))
			is.NoErr(l.Reserve("w", ledger.Reservation{Attempt: "first", Size: small}))
			err := l.Reserve(s.worker, ledger.Reservation{Attempt: s.attempt, Size: small})
			is.Equal(fault.KindOf[ledger.Kind](err), s.expected)
		})
	}
}
