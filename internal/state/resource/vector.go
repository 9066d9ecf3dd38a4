// Package resource describes amounts of the resources that a worker offers and
// a task asks for.
package resource

import "fmt"

// Kinds is the number of resource kinds in a Vector.
const Kinds = 5

// MaxAmount bounds every single amount, so that sums over a whole fleet can
// not overflow.
const MaxAmount = int64(1) << 40

// Vector is an amount of each resource kind. Amounts are never negative in a
// valid size or capacity; differences may be.
type Vector struct {
	// Milliprocessors is in thousandths of a processor core.
	Milliprocessors int64 `json:"milliprocessors"`
	// MemoryMebibytes is in MiB.
	MemoryMebibytes int64 `json:"memory_mebibytes"`
	// Accelerators is in whole devices.
	Accelerators int64 `json:"accelerators,omitempty"`
	// Slots is in concurrent tasks.
	Slots int64 `json:"slots"`
	// Connections is in open connections of a worker.
	Connections int64 `json:"connections"`
}

// KindNames lists the resource kinds in the order of Amounts.
var KindNames = [Kinds]string{"milliprocessors", "memory_mebibytes", "accelerators", "slots", "connections"}

// Amounts returns the amounts in the order of KindNames.
func (v Vector) Amounts() [Kinds]int64 {
	return [Kinds]int64{v.Milliprocessors, v.MemoryMebibytes, v.Accelerators, v.Slots, v.Connections}
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

// Max returns the larger amount of each kind.
func (v Vector) Max(o Vector) Vector {
	return Vector{
		max(v.Milliprocessors, o.Milliprocessors),
		max(v.MemoryMebibytes, o.MemoryMebibytes),
		max(v.Accelerators, o.Accelerators),
		max(v.Slots, o.Slots),
		max(v.Connections, o.Connections),
	}
}

// Min returns the smaller amount of each kind.
func (v Vector) Min(o Vector) Vector {
	return Vector{
		min(v.Milliprocessors, o.Milliprocessors),
		min(v.MemoryMebibytes, o.MemoryMebibytes),
		min(v.Accelerators, o.Accelerators),
		min(v.Slots, o.Slots),
		min(v.Connections, o.Connections),
	}
}

// DominantFraction returns the largest fraction of total that v takes in any
// kind. A kind that total lacks is skipped unless v asks for it, which yields
// a fraction above every real one.
func (v Vector) DominantFraction(total Vector) float64 {
	amounts, totals := v.Amounts(), total.Amounts()
	fraction := 0.0
	for i := range Kinds {
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

// unavailableFraction stands for a demand on a resource that does not exist.
const unavailableFraction = 1e9

// Validate returns a message naming the first amount that is negative or
// larger than MaxAmount, or the empty string.
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

// String formats the vector as key=value pairs.
func (v Vector) String() string {
	return fmt.Sprintf("milliprocessors=%d memory_mebibytes=%d accelerators=%d slots=%d connections=%d",
		v.Milliprocessors, v.MemoryMebibytes, v.Accelerators, v.Slots, v.Connections)
}
