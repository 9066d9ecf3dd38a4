package scheduler

import (
	"github.com/almondpost/almondpost/internal/cell/quota"
	"github.com/almondpost/almondpost/internal/cell/share"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// defaultTeamWeight is the weight in shares of teams that are not configured any more, and of
// jobs without a team where others have one.
const defaultTeamWeight = 1

// exceedsRate counts a job that the leader has just learned of, and reports whether it exceeds
// the rate that is guaranteed to its team. A team that is not configured has no guaranteed
// rate.
func (s *Scheduler) exceedsRate(j *job) bool {
	if j.spec.Team == "" || s.table.Teams.Len() == 0 {
		return false
	}
	t := s.table.Teams.Named(j.spec.Team)
	return t == nil || s.rates.Exceeds(t.Name, t.Weight, j.submittedAt)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// arrangeByShare rearranges sorted jobs of equal timeliness and priority that are all within or
// all beyond the rates of their teams: those of one service by weighted max-min fairness of the
// teams. Services keep their places, since their jobs do not compete for workers. It does
// nothing without teams.
func (s *Scheduler) arrangeByShare(ranks []rankedJob) {
	if s.table.Teams.Len() == 0 {
		return
	}
	orders := map[string]*share.Order{}
	for begin := 0; begin < len(ranks); {
		end := begin + 1
		for end < len(ranks) && ranks[end].competesWith(&ranks[begin]) {
			end++
		}
		s.arrangeGroup(ranks[begin:end], orders)
		begin = end
	}
}

// competesWith reports whether shares decide which of two jobs comes first, if their service
// is the same.
func (r *rankedJob) competesWith(o *rankedJob) bool {
	return r.timeliness == o.timeliness && r.priority == o.priority && r.job.beyondRate == o.job.beyondRate
}

func (s *Scheduler) arrangeGroup(group []rankedJob, orders map[string]*share.Order) {
	if len(group) < 2 {
		return
	}
	places := map[string][]int{}
	for i := range group {
		places[group[i].service] = append(places[group[i].service], i)
	}
	arranged := make([]rankedJob, len(group))
	for service, indexes := range places {
		if orders[service] == nil {
			orders[service] = s.newShareOrder(service)
		}
		items := make([]share.Item, len(indexes))
		for k, i := range indexes {
			items[k] = share.Item{Team: group[i].job.spec.Team, Demand: group[i].demand()}
		}
		for k, chosen := range orders[service].Arrange(items) {
			arranged[indexes[k]] = group[indexes[chosen]]
		}
	}
	copy(group, arranged)
}

// demand returns the capacity that the waiting tasks of a job need. It is zero if the job can't
// place any of them.
func (r *rankedJob) demand() resource.Vector {
	var sum resource.Vector
	if r.runnable == nil {
		return sum
	}
	for _, o := range r.job.occurrences {
		for _, st := range o.steps {
			if st.open && st.tasksLeft > 0 {
				sum = sum.Add(quota.Times(st.spec.ReservedCapacity(), st.countWaitingTasks()))
			}
		}
	}
	return sum
}

// newShareOrder returns an order for the workers of a service, with what each team uses of
// them.
func (s *Scheduler) newShareOrder(service string) *share.Order {
	var total, used, usedByTeams resource.Vector
	byTeam := map[string]resource.Vector{}
	for _, w := range s.poolOfService(service).workers {
		total, used = total.Add(w.registration.Capacity), used.Add(w.usedCapacity)
		for name, v := range w.usedByTeam {
			byTeam[name], usedByTeams = byTeam[name].Add(v), usedByTeams.Add(v)
		}
	}
	o := share.NewOrder(total)
	o.SetTeam("", defaultTeamWeight, used.Sub(usedByTeams))
	for name, v := range byTeam {
		o.SetTeam(name, s.teamWeight(name), v)
	}
	for t := range s.table.Teams.All() {
		if _, known := byTeam[t.Name]; !known {
			o.SetTeam(t.Name, t.Weight, resource.Vector{})
		}
	}
	return o
}

func (s *Scheduler) teamWeight(name string) float64 {
	if t := s.table.Teams.Named(name); t != nil {
		return t.Weight
	}
	return defaultTeamWeight
}
