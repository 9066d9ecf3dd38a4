package store

import "time"

// Read asks for the records of a topic from an offset on.
type Read struct {
	Topic Topic
	Part  int
	From  int64
	// Wait is how long the store may wait for a record; 0 means not at all.
	Wait time.Duration
}
