package store

import "time"

// Read requests the records of one partition, starting at an offset.
type Read struct {
	Topic Topic
	// Part is the partition of the topic.
	Part int
	// From is the offset of the first record to return.
	From int64
	// Wait is how long the store may wait for a record when there is none; 0 makes
	// it answer at once.
	Wait time.Duration
}
