package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// disturb applies a fault and records its beginning and end.
func disturb(apply func(), ds ...*disturbance) {
	for _, d := range ds {
		d.begin()
	}
	apply()
	for _, d := range ds {
		d.end(time.Now())
	}
}

func (c *cell) vmDisturbances() []*disturbance {
	ds := make([]*disturbance, len(c.vms))
	for i, vm := range c.vms {
		ds[i] = &vm.disturbed
	}
	return ds
}

func disturbancesOf(workers []*worker) []*disturbance {
	ds := make([]*disturbance, len(workers))
	for i, w := range workers {
		ds[i] = &w.disturbed
	}
	return ds
}

// workersIn returns the workers of a failure domain.
func (c *cell) workersIn(domain int) []*worker {
	var in []*worker
	for _, w := range c.workers {
		if w.domain == domain {
			in = append(in, w)
		}
	}
	return in
}

// rack returns the numbers of some workers of one failure domain.
func (c *cell) rack(f fault) []int {
	numbers := make([]int, min(1+f.amount%maxRackSize, len(c.workers)/domainCount))
	for k := range numbers {
		numbers[k] = (f.target + k*domainCount) % len(c.workers)
	}
	return numbers
}

// cutStore begins (1) or ends (-1) a fault that cuts the VM off the store.
func (vm *entryVM) cutStore(change int) {
	vm.storeMutex.Lock()
	defer vm.storeMutex.Unlock()
	vm.storeCuts += change
	vm.storeLink.RefuseCalls(vm.storeCuts > 0)
	if change > 0 {
		vm.disturbed.begin()
	} else {
		vm.disturbed.end(time.Now())
	}
}

// cutDomain cuts off a failure domain: calls between its workers and the VMs of other
// domains, and between its VMs and other workers, get no answer, and its VMs don't reach the
// store. The entries of its workers lapse and come back. VMs still reach each other. during
// runs from the beginning of the cut. While a domain is cut off, others are not.
func (c *cell) cutDomain(f fault, during func() error) error {
	if !c.inCut.TryLock() {
		return nil
	}
	defer c.inCut.Unlock()
	domain := f.target % domainCount
	c.nearCuts.Add(1)
	time.Sleep(cutNearness)
	workers, length := c.workersIn(domain), minCutDuration+f.lasts
	var wait sync.WaitGroup
	var err error
	wait.Go(func() { err = during() })
	c.cuts[domain].Add(1)
	c.cutStores(domain, 1)
	lapsed := false
	disturb(func() {
		time.Sleep(min(length, entryLifetime))
		if lapsed = length > entryLifetime; lapsed {
			c.ledger.reportError(f.kind, c.changeEntries(workers, 1))
			time.Sleep(length - entryLifetime)
		}
		c.cuts[domain].Add(-1)
	}, disturbancesOf(workers)...)
	c.cutStores(domain, -1)
	if lapsed {
		for _, w := range workers {
			wait.Go(func() {
				time.Sleep(rand.N(maxEntryReturn))
				c.ledger.reportError(f.kind, c.changeEntries([]*worker{w}, -1))
			})
		}
	}
	time.Sleep(cutNearness)
	c.nearCuts.Add(-1)
	wait.Wait()
	return err
}

// cutStores begins or ends a cut between the VMs of a failure domain and the store.
func (c *cell) cutStores(domain, change int) {
	for _, vm := range c.vms {
		if vm.domain == domain {
			vm.cutStore(change)
		}
	}
}

// replaceLeader kills the leader or replaces it as planned.
func (c *cell) replaceLeader(f fault) error {
	vm := c.leader()
	if vm == nil {
		return nil
	}
	return vm.alone(func(vm *entryVM) error {
		if f.amount%2 == 0 {
			return vm.kill(rand.N(maxKillPause))
		}
		return vm.replace(rand.N(maxKillPause))
	})
}

// lapseEntries removes the entries of workers, which stay reachable, during a function.
func (c *cell) lapseEntries(workers []*worker, during func()) error {
	err := c.changeEntries(workers, 1)
	during()
	return errors.Join(err, c.changeEntries(workers, -1))
}

// changeEntries begins (1) or ends (-1) a fault in which workers are not listed.
func (c *cell) changeEntries(workers []*worker, change int) error {
	var errs []error
	for _, w := range workers {
		w.mutex.Lock()
		w.lapses += change
		errs = append(errs, c.updateEntry(w))
		w.mutex.Unlock()
	}
	return errors.Join(errs...)
}

// isCut reports whether a VM and a worker don't reach each other.
func (c *cell) isCut(vm *entryVM, w *worker) bool {
	return vm != nil && vm.domain != w.domain && (c.cuts[vm.domain].Load() > 0 || c.cuts[w.domain].Load() > 0)
}

// throughCuts wraps the handler of a worker such that calls get no answer while a fault
// keeps the answer from the VM. Calls between a VM and a worker that are cut off from each
// other are not executed.
func (c *cell) throughCuts(w *worker, h http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, r *http.Request) {
		connection, _ := r.Context().Value(connectionKey{}).(*connection)
		if s := w.silence.Load(); s != nil && s.frozen {
			<-s.over
			r = r.WithContext(context.WithoutCancel(r.Context()))
		} else if s != nil {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if c.nearCuts.Load() > 0 && c.isCut(w.awaitCaller(connection), w) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		lost := func() bool {
			vm := connection.caller()
			return w.silence.Load() != nil || c.isCut(vm, w) || vm != nil && vm.lostAnswers[w.domain].Load() > 0
		}
		h.ServeHTTP(&lossyWriter{response, r.Context(), lost}, r)
	})
}

// maxCallerWait is how long a call to a worker may wait for the VM that opened its connection
// to be known without counting as held up.
const maxCallerWait = 2 * callerScanInterval

// awaitCaller returns the entry VM that opened a connection to the worker, as
// connection.awaitCaller does. If that takes long, as on a busy machine, the call was held up
// by the soak itself, which counts as a fault of the calls to the worker.
func (w *worker) awaitCaller(n *connection) *entryVM {
	begun := time.Now()
	vm := n.awaitCaller()
	if waited := time.Since(begun); waited > maxCallerWait {
		w.disturbed.extend(begun.Add(waited))
	}
	return vm
}

// lossyWriter is a response that does not arrive if lost is true when it is sent.
type lossyWriter struct {
	http.ResponseWriter
	ctx  context.Context
	lost func() bool
}

// WriteHeader implements http.ResponseWriter.
func (w *lossyWriter) WriteHeader(status int) {
	if w.lost() {
		<-w.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}
