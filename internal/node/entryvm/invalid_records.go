package entryvm

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// maxInvalidRecordKeys limits the number of keys whose last invalid record is
	// remembered.
	maxInvalidRecordKeys = 4096
	// invalidRecordLogInterval is the shortest average time between two log lines about
	// invalid records, and invalidRecordLogBurst how many lines may be logged at once.
	invalidRecordLogInterval = 5 * time.Second
	invalidRecordLogBurst    = 50
	// maxLoggedBytes limits the length of each value in a log line about an invalid
	// record.
	maxLoggedBytes = 160
)

// invalidRecordLog decides which records that cannot be decoded are logged: each of them
// once, however often it is read, and not too many in total. The zero value is ready to
// use. It is safe for concurrent use.
type invalidRecordLog struct {
	mutex sync.Mutex
	// hashes maps a key to the hash of the last invalid value.
	hashes map[invalidRecordKey]uint64
	// limiter is nil before the first record.
	limiter *rate.Limiter
	// suppressed is the number of records that were not logged since the last log line,
	// because there were too many.
	suppressed int
}

// invalidRecordKey identifies a key by the hash of its name, which can be long.
type invalidRecordKey struct {
	topic store.Topic
	key   uint64
}

// shouldLog reports whether to log an invalid record. If so, it also returns the number of
// records that were suppressed since the last log line.
func (i *invalidRecordLog) shouldLog(topic store.Topic, r *store.Record, at time.Time) (suppressed int, ok bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.limiter == nil {
		i.limiter = rate.NewLimiter(rate.Every(invalidRecordLogInterval), invalidRecordLogBurst)
	}
	key, hash := invalidRecordKey{topic, xxhash.Sum64String(r.Key)}, xxhash.Sum64(r.Value)
	if known, logged := i.hashes[key]; logged && known == hash {
		return 0, false
	}
	if i.hashes == nil || len(i.hashes) >= maxInvalidRecordKeys {
		i.hashes = map[invalidRecordKey]uint64{}
	}
	i.hashes[key] = hash
	if !i.limiter.AllowN(at, 1) {
		i.suppressed++
		return 0, false
	}
	suppressed, i.suppressed = i.suppressed, 0
	return suppressed, true
}

// reportInvalidRecord logs a record that cannot be decoded, unless it was logged before or
// there were too many. keyName is the name under which the record's key is logged.
func (n *Node) reportInvalidRecord(event, keyName string, topic store.Topic, r *store.Record, reason error) {
	suppressed, ok := n.invalidRecords.shouldLog(topic, r, now())
	if !ok {
		return
	}
	n.log.Info(event, keyName, truncate(r.Key), "reason", truncate(reason.Error()), "offset", r.Offset, "bytes", len(r.Value), "suppressed", suppressed)
}

// truncate returns at most the first maxLoggedBytes bytes of a text.
func truncate(text string) string { return text[:min(len(text), maxLoggedBytes)] }
