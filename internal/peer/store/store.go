// Package store is the platform's store as the scheduler sees it: topics of
// keyed records, of which the newest of each key is kept.
package store

import (
	"context"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindRefused means that nothing was done.
	KindRefused Kind = "refused"
	// KindUnknown means that the call may have been carried out, or may be yet.
	KindUnknown Kind = "unknown"
	// KindFenced means that a producer with a higher epoch has written.
	KindFenced Kind = "fenced"
	// KindConflict means that the topic does not end where the caller said.
	KindConflict Kind = "conflict"
	// KindDropped means that the records asked for are not kept any more.
	KindDropped Kind = "dropped"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Topic names a stream of keyed records.
type Topic string

// The topics of the scheduler.
const (
	// Jobs holds submissions and cancellations, in several partitions.
	Jobs Topic = "jobs"
	// Progress holds the progress of each job under its ID; only the leader
	// writes here, as a producer with its epoch.
	Progress Topic = "progress"
	// Claims holds who leads.
	Claims Topic = "claims"
	// VMs holds the entry VMs by name.
	VMs Topic = "vms"
	// Configuration holds what operators publish.
	Configuration Topic = "configuration"
	// Workers holds what workers say of themselves.
	Workers Topic = "workers"
)

// Record is a keyed record. One without a value drops the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Producer makes appends idempotent and fences older epochs.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence numbers the appends of an epoch, each one more than the last.
	Sequence int64
}

// Append is one atomic append.
type Append struct {
	Topic Topic
	// Part is the partition; a producer's epoch holds within one.
	Part    int
	Records []Record
	// Producer is nil for an append that may safely be carried out twice.
	Producer *Producer
	// Condition, where it is set, must hold for the append to happen.
	Condition Condition
}

// Condition makes an append depend on where the topic ends.
type Condition struct {
	// Set tells that there is a condition.
	Set bool
	// End is where the topic must end.
	End int64
}

// Batch is an answer to a read.
type Batch struct {
	Records []Record
	// Next is the offset after the last record returned.
	Next int64
}

// Snapshot holds the newest record of each key.
type Snapshot struct {
	Records []Record
	// End is where to go on reading; the records may hold later ones too.
	End int64
}

// Store is the platform's store. Errors are of type *Error.
type Store interface {
	// Append returns the end of the topic after the append.
	Append(ctx context.Context, a Append) (int64, error)
	// Read returns the records from an offset; it waits for one for a time
	// that is part of ctx's deadline and at most wait.
	Read(ctx context.Context, r Read) (Batch, error)
	// Newest reads the newest record of each key of a partition.
	Newest(ctx context.Context, t Topic, part int) (Snapshot, error)
}
