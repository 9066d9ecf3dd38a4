// Package store defines the scheduler's interface to the platform's store. The
// store consists of topics, which are compacted logs of keyed records: the newest
// record of each key is always kept. Package platform implements it over HTTP.
package store

import (
	"context"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindRefused means that the store rejected the call and changed nothing. It may accept
	// the same call later.
	KindRefused Kind = "refused"
	// KindInvalid means that the store rejected the content of the call, such as the size of
	// a record, and changed nothing. The same call is never accepted.
	KindInvalid Kind = "invalid"
	// KindUnknown means that the call may have taken effect or may still take
	// effect.
	KindUnknown Kind = "unknown"
	// KindFenced means that the same producer has already written with a higher
	// epoch.
	KindFenced Kind = "fenced"
	// KindConflict means that the topic does not meet the condition of the
	// append, or that the store has not received the producer's preceding
	// sequence number.
	KindConflict Kind = "conflict"
	// KindDropped means that the store has deleted records in the requested range.
	KindDropped Kind = "dropped"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Topic is the name of a topic. A topic has one or more partitions, each of which is a
// log of keyed records.
type Topic string

// The topics of the scheduler.
const (
	// Jobs contains job submissions and cancellations. It has several partitions.
	Jobs Topic = "jobs"
	// Progress contains the progress of each job, keyed by job ID. Only the leader
	// writes to it, as a producer with the epoch of its leadership.
	Progress Topic = "progress"
	// Claims contains the claims to leadership, from which the leader is elected.
	Claims Topic = "claims"
	// VMs contains the entry VMs, keyed by name.
	VMs Topic = "vms"
	// Configuration contains the configurations that operators publish.
	Configuration Topic = "configuration"
	// Workers contains the registrations of workers, keyed by instance ID.
	Workers Topic = "workers"
)

// Record is a keyed record. A record with an empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the position of the record in its partition.
	Offset int64
}

// MaxKeyBytes is the largest length of a key.
const MaxKeyBytes = 255

// recordHeaderBytes is the size of the lengths of a record and of its key.
const recordHeaderBytes = 5

// EncodedSize returns the number of bytes of the record in an append.
func (r *Record) EncodedSize() int { return recordHeaderBytes + len(r.Key) + len(r.Value) }

// SplitRecords divides records into consecutive groups of at most maxBytes, measured by
// their EncodedSize. A larger record is a group of its own.
func SplitRecords(records []Record, maxBytes int) [][]Record {
	var groups [][]Record
	begin, size := 0, 0
	for i := range records {
		recordSize := records[i].EncodedSize()
		if i > begin && size+recordSize > maxBytes {
			groups = append(groups, records[begin:i:i])
			begin, size = i, 0
		}
		size += recordSize
	}
	if begin < len(records) {
		groups = append(groups, records[begin:])
	}
	return groups
}

// Producer identifies the writer of an append. The store uses it to drop duplicate
// appends and to refuse appends with an older epoch.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence numbers the appends of an epoch consecutively.
	Sequence int64
}

// Append describes an atomic append of records to one partition.
type Append struct {
	Topic Topic
	// Part is the partition. The epoch and sequence of a producer are tracked
	// separately for each partition.
	Part    int
	Records []Record
	// Producer is nil for an append that may safely take effect twice.
	Producer *Producer
	// Condition must be met for the append to take effect, unless it is the zero
	// value.
	Condition Condition
}

// Condition makes an append a compare-and-set on the end offset of the topic.
type Condition struct {
	// Set enables the condition.
	Set bool
	// End is the required end offset.
	End int64
}

// Batch is the result of a Read.
type Batch struct {
	Records []Record
	// Next is the offset after the last returned record, from which to continue
	// reading.
	Next int64
	// End is the end offset of the partition at the time of the read, or 0 if it is not
	// known.
	End int64
}

// ReachesEnd reports whether the batch contains all records up to the end of the
// partition. A read returns a limited amount of data.
func (b Batch) ReachesEnd() bool {
	return len(b.Records) == 0 || (b.End > 0 && b.Next >= b.End)
}

// Snapshot contains the newest record of each key in a partition.
type Snapshot struct {
	Records []Record
	// End is the offset from which to continue reading. Records may already
	// contain some of the records from this offset on.
	End int64
}

// Store is the interface to the platform's store. Errors are of type *Error.
type Store interface {
	// Append appends records and returns the end offset of the topic after that.
	Append(ctx context.Context, a Append) (int64, error)
	// Read returns the records from r.From on. When there are none, it waits up to
	// r.Wait for one; the deadline of ctx must allow for that wait.
	Read(ctx context.Context, r Read) (Batch, error)
	// Newest returns the newest record of each key in a partition.
	Newest(ctx context.Context, t Topic, part int) (Snapshot, error)
}
