// Package resource represents the amounts of resources that a worker has and a
// task requires.
package resource

import "fmt"

// KindCount is the number of resource kinds in a Vector.
const KindCount = 5

// MaxAmount is the largest valid amount of one resource. It is low enough that sums
// over a whole fleet cannot overflow an int64.
const MaxAmount = int64(1) << 40

// Vector holds an amount of each resource kind: the size of a task, the capacity
// of a worker, or a difference of two vectors. Amounts are never negative in a valid
// size or capacity; in a difference they may be.
type Vector struct {
	// Milliprocessors is in thousandths of a processor core.
	Milliprocessors int64 `json:"milliprocessors"`
	// MemoryMebibytes is in MiB.
	MemoryMebibytes int64 `json:"memory_mebibytes"`
	// Accelerators is a number of whole devices.
	Accelerators int64 `json:"accelerators,omitempty"`
	// Slots is a number of tasks that may run at the same time.
	Slots int64 `json:"slots"`
	// Connections is a number of open connections of a worker.
	Connections int64 `json:"connections"`
}

// KindNames holds the name of each resource kind, in the order of Amounts.
var KindNames = [KindCount]string{"milliprocessors", "memory_mebibytes", "accelerators", "slots", "connections"}

// Amounts returns the amounts in the order of KindNames.
func (v Vector) Amounts() [KindCount]int64 {
	return [KindCount]int64{v.Milliprocessors, v.MemoryMebibytes, v.Accelerators, v.Slots, v.Connections}
}

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{
		v.Milliprocessors + o.Milliprocessors,
		v.MemoryMebibytes + o.MemoryMebibytes,
		v.Accelerators + o.Accelerators,
		v.Slots + o.Slots,
		v.Connections + o.Connections,
	}
}

// Sub returns v - o.
func (v Vector) Sub(o Vector) Vector {
	return Vector{
		v.Milliprocessors - o.Milliprocessors,
		v.MemoryMebibytes - o.MemoryMebibytes,
		v.Accelerators - o.Accelerators,
		v.Slots - o.Slots,
		v.Connections - o.Connections,
	}
}

// Fits reports whether v is at most o in every kind.
func (v Vector) Fits(o Vector) bool {
	return v.Milliprocessors <= o.Milliprocessors &&
		v.MemoryMebibytes <= o.MemoryMebibytes &&
		v.Accelerators <= o.Accelerators &&
		v.Slots <= o.Slots &&
		v.Connections <= o.Connections
}

// IsZero reports whether every amount is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// IsNegative reports whether any amount is below zero.
func (v Vector) IsNegative() bool {
	return v.Milliprocessors < 0 || v.MemoryMebibytes < 0 || v.Accelerators < 0 || v.Slots < 0 || v.Connections < 0
}

// Max returns the larger of the two amounts for each kind.
func (v Vector) Max(o Vector) Vector {
	return Vector{
		max(v.Milliprocessors, o.Milliprocessors),
		max(v.MemoryMebibytes, o.MemoryMebibytes),
		max(v.Accelerators, o.Accelerators),
		max(v.Slots, o.Slots),
		max(v.Connections, o.Connections),
	}
}

// Min returns the smaller of the two amounts for each kind.
func (v Vector) Min(o Vector) Vector {
	return Vector{
		min(v.Milliprocessors, o.Milliprocessors),
		min(v.MemoryMebibytes, o.MemoryMebibytes),
		min(v.Accelerators, o.Accelerators),
		min(v.Slots, o.Slots),
		min(v.Connections, o.Connections),
	}
}

// DominantFraction returns the dominant share of v: the largest of the fractions
// v/total over all kinds. Kinds of which v has nothing are skipped. If v requires
// a kind of which total has nothing, the result is unavailableFraction.
func (v Vector) DominantFraction(total Vector) float64 {
	amounts, totals := v.Amounts(), total.Amounts()
	fraction := 0.0
	for i := range KindCount {
		if amounts[i] <= 0 {
			continue
		}
		if totals[i] <= 0 {
			return unavailableFraction
		}
		fraction = max(fraction, float64(amounts[i])/float64(totals[i]))
	}
	return fraction
}

// unavailableFraction is the dominant fraction of a demand for a resource of which
// there is no capacity. It is chosen to be above every fraction of existing capacity
// that occurs in practice.
const unavailableFraction = 1e9

// Validate returns a message that names the first amount below 0 or above
// MaxAmount, or the empty string when all amounts are valid.
func (v Vector) Validate() string {
	for i, a := range v.Amounts() {
		if a < 0 {
			return fmt.Sprintf("%s is negative: %d", KindNames[i], a)
		}
		if a > MaxAmount {
			return fmt.Sprintf("%s is above the limit of %d: %d", KindNames[i], MaxAmount, a)
		}
	}
	return ""
}

// String formats the vector as key=value pairs separated by spaces.
func (v Vector) String() string {
	return fmt.Sprintf("milliprocessors=%d memory_mebibytes=%d accelerators=%d slots=%d connections=%d",
		v.Milliprocessors, v.MemoryMebibytes, v.Accelerators, v.Slots, v.Connections)
}
