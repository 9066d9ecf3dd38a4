// Package share orders the jobs of teams by weighted max-min fairness, and tells which jobs
// exceed the rate that is guaranteed to their team. It does no I/O and reads no clock.
package share

import (
	"container/heap"
	"math"

	"github.com/almondpost/almondpost/internal/state/resource"
)

// Order arranges the jobs that compete for one pool of workers. It is made anew for each
// scheduling pass. It is not safe for concurrent use.
type Order struct {
	total resource.Vector
	teams map[string]*member
}

// member is a team that takes part in an Order.
type member struct {
	weight float64
	// used is what the team uses, and what the jobs arranged so far ask for.
	used resource.Vector
	// share is the dominant share of used in the pool, divided by weight.
	share float64
	// waiting lists the indexes of the items that have not been arranged, in their order.
	waiting []int
}

// NewOrder returns an order for a pool with the given capacity.
func NewOrder(total resource.Vector) *Order {
	return &Order{total: total, teams: map[string]*member{}}
}

// SetTeam sets the weight of a team and what it uses of the pool. A team for which it was not
// called has weight 1 and uses nothing.
func (o *Order) SetTeam(name string, weight float64, used resource.Vector) {
	m := &member{weight: weight, used: used}
	m.share = o.shareOf(m)
	o.teams[name] = m
}

// shareOf returns the dominant share of a team in processors, memory and accelerators,
// divided by its weight. A team without weight comes after all others.
func (o *Order) shareOf(m *member) float64 {
	if !(m.weight > 0) {
		return math.Inf(1)
	}
	fraction := func(used, total int64) float64 {
		if total <= 0 || used <= 0 {
			return 0
		}
		return float64(used) / float64(total)
	}
	return max(fraction(m.used.Milliprocessors, o.total.Milliprocessors), fraction(m.used.MemoryMebibytes, o.total.MemoryMebibytes),
		fraction(m.used.Accelerators, o.total.Accelerators)) / m.weight
}

// Item is a job to arrange.
type Item struct {
	Team string
	// Demand is what the waiting tasks of the job need.
	Demand resource.Vector
}

// Arrange returns the indexes of the items in the order in which they get capacity: the next
// is the first item of the team with the lowest share, and of teams with equal shares the
// first item. Each one adds its demand to the use of its team, also for later calls.
func (o *Order) Arrange(items []Item) []int {
	var h memberHeap
	for i := range items {
		m := o.teams[items[i].Team]
		if m == nil {
			o.SetTeam(items[i].Team, 1, resource.Vector{})
			m = o.teams[items[i].Team]
		}
		if len(m.waiting) == 0 {
			h = append(h, m)
		}
		m.waiting = append(m.waiting, i)
	}
	heap.Init(&h)
	arranged := make([]int, 0, len(items))
	for len(h) > 0 {
		m := h[0]
		i := m.waiting[0]
		arranged = append(arranged, i)
		m.waiting = m.waiting[1:]
		m.used = m.used.Add(items[i].Demand)
		m.share = o.shareOf(m)
		if len(m.waiting) == 0 {
			m.waiting = nil
			heap.Pop(&h)
			continue
		}
		heap.Fix(&h, 0)
	}
	return arranged
}

// memberHeap implements heap.Interface. The team whose item comes next is at the top.
type memberHeap []*member

func (h memberHeap) Len() int { return len(h) }
func (h memberHeap) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].waiting[0] < h[j].waiting[0]
}
func (h memberHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *memberHeap) Push(v any)   { *h = append(*h, v.(*member)) }
func (h *memberHeap) Pop() any {
	old := *h
	v := old[len(old)-1]
	*h = old[:len(old)-1]
	return v
}
