package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// maxLostWorkers limits the workers that are lost in one outage.
	maxLostWorkers = 3
	// replacementDelay is how long after the loss of a worker another one starts.
	replacementDelay = 12 * time.Second
	// minOutageStart is how long the store is away before something else is lost: callers
	// ask for the states of jobs that end meanwhile. maxOutageStart is the longest such
	// time, and maxLossPause the longest time between two losses.
	minOutageStart = 500 * time.Millisecond
	maxOutageStart = 2 * time.Second
	maxLossPause   = 700 * time.Millisecond
	// lossOrders is the number of orders of the losses in an outage, and of all at once.
	lossOrders = 7
)

// playOutage takes the store away from all entry VMs. Meanwhile workers are lost for good,
// the leader is killed, and all VMs are killed, in one of all orders or at once.
func (c *cell) playOutage(f fault) error {
	if !c.inOutage.TryLock() {
		return nil
	}
	defer c.inOutage.Unlock()
	losses := [3]func() error{
		func() error { c.loseWorkers(c.lostWorkers(f)); return nil },
		func() error {
			if vm := c.leader(); vm != nil {
				return vm.alone(func(vm *entryVM) error { return vm.kill(rand.N(maxKillPause)) })
			}
			return nil
		},
		func() error { return c.killAll(func() time.Duration { return rand.N(maxKillPause) }) },
	}
	orders := [lossOrders - 1][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
	c.refuseCalls(true)
	defer c.refuseCalls(false)
	time.Sleep(minOutageStart + rand.N(maxOutageStart-minOutageStart))
	var wait sync.WaitGroup
	var errs [len(losses)]error
	order := f.amount % lossOrders
	for i := range losses {
		number := i
		if order < len(orders) {
			number = orders[order][i]
		}
		wait.Go(func() { errs[i] = losses[number]() })
		if order < len(orders) {
			time.Sleep(rand.N(maxLossPause))
		}
	}
	wait.Wait()
	time.Sleep(f.lasts / 2)
	return errors.Join(errs[:]...)
}

// killAll kills all entry VMs at once and starts each again after a pause.
func (c *cell) killAll(pause func() time.Duration) error {
	var wait sync.WaitGroup
	errs := make([]error, len(c.vms))
	for i, vm := range c.vms {
		wait.Go(func() {
			errs[i] = vm.alone(func(vm *entryVM) error { return vm.kill(pause()) })
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

// lostWorkers returns the numbers of the workers that are lost in an outage.
func (c *cell) lostWorkers(f fault) []int {
	numbers := make([]int, 1+f.target%maxLostWorkers)
	for k := range numbers {
		numbers[k] = (f.target + k) % len(c.workers)
	}
	return numbers
}

// loseWorkers ends workers for good. Another worker starts at the address of each, under
// another ID, long after its entry has lapsed.
func (c *cell) loseWorkers(numbers []int) {
	for _, i := range numbers {
		w := c.workers[i]
		w.mutex.Lock()
		life := w.current.Load().life
		c.fleet.Remove(life, func() { c.ledger.workerEnded(life) })
		w.mutex.Unlock()
		go func() {
			time.Sleep(entryLifetime)
			c.ledger.reportError("outage", c.dropEntry(w, life))
			time.Sleep(replacementDelay - entryLifetime)
			if w.current.Load().life == life {
				c.ledger.reportError("outage", c.startWorker(w, fmt.Sprintf("worker-%d-%d", i, time.Now().UnixMilli()), 0))
			}
		}()
	}
}

// dropEntry makes the store no longer list a worker that was lost, unless another life of it
// runs by now.
func (c *cell) dropEntry(w *worker, lost backend.Life) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.current.Load().life != lost {
		return nil
	}
	w.registration = nil
	return c.updateEntry(w)
}
