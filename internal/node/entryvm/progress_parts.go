package entryvm

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// A progress record that exceeds the size of a record even when it is compressed is stored in
// parts: records with keys of their own. The record with the ID of the job is then a list of the
// parts, and is appended after them. So a leader that takes over finds either the earlier or the
// later progress, whichever appends of a commit were stored.

// partKeyPrefix begins the keys of parts. No job ID contains a slash.
const partKeyPrefix = "part/"

// partListHeader begins the value of a list of parts. Neither JSON nor gzip begins with it.
var partListHeader = []byte("parts ")

// progressParts names the parts of one version of a progress record.
type progressParts struct {
	job string
	// version differs for each version of the record, also between leaders.
	version string
	count   int
}

func (p progressParts) key(i int) string {
	return partKeyPrefix + p.job + "/" + p.version + "/" + strconv.Itoa(i)
}

// list returns the record that lists the parts.
func (p progressParts) list() store.Record {
	return store.Record{Key: p.job, Value: fmt.Appendf(slices.Clone(partListHeader), "%s %d", p.version, p.count)}
}

// parsePartList returns the parts that the record of a job lists. ok is false if the record
// contains the progress itself.
func parsePartList(r *store.Record) (p progressParts, ok bool) {
	text, ok := bytes.CutPrefix(r.Value, partListHeader)
	if !ok {
		return p, false
	}
	p.job = r.Key
	if _, err := fmt.Sscanf(string(text), "%s %d", &p.version, &p.count); err != nil {
		return p, false
	}
	return p, true
}

// jobOfRecord returns the ID of the job whose progress a record or a part of it contains.
func jobOfRecord(key string) string {
	rest, isPart := strings.CutPrefix(key, partKeyPrefix)
	if !isPart {
		return key
	}
	job, _, _ := strings.Cut(rest, "/")
	return job
}

// progressEncoder turns the records of commits into ones that the store takes. It belongs to one
// leader, and is not safe for concurrent use.
type progressEncoder struct {
	epoch          int64
	maxRecordBytes int
	versions       int64
	// storedParts holds the keys of the parts that the store may contain, by job.
	storedParts map[string][]string
}

func newProgressEncoder(epoch int64, maxRecordBytes int) *progressEncoder {
	return &progressEncoder{epoch: epoch, maxRecordBytes: maxRecordBytes, storedParts: map[string][]string{}}
}

// encode compresses the records that exceed the size of a record, and divides those that still
// do. It adds deletions of the parts that are no longer needed once the result is stored. Most
// records are small, and are kept readable.
func (e *progressEncoder) encode(records []store.Record) []store.Record {
	encoded := make([]store.Record, 0, len(records))
	for _, r := range records {
		if r.EncodedSize() > e.maxRecordBytes {
			r.Value = compress(r.Value)
		}
		earlier := e.storedParts[r.Key]
		delete(e.storedParts, r.Key)
		if r.EncodedSize() > e.maxRecordBytes {
			encoded = append(encoded, e.divide(r)...)
		} else {
			encoded = append(encoded, r)
		}
		for _, key := range earlier {
			encoded = append(encoded, store.Record{Key: key})
		}
	}
	return encoded
}

// divide returns the parts of a record and, after them, their list.
func (e *progressEncoder) divide(r store.Record) []store.Record {
	e.versions++
	p := progressParts{job: r.Key, version: fmt.Sprintf("%d.%d", e.epoch, e.versions)}
	part := store.Record{Key: p.key(len(r.Value))} // The longest key that a part may have.
	var records []store.Record
	for value := range slices.Chunk(r.Value, max(e.maxRecordBytes-part.EncodedSize(), 1)) {
		records = append(records, store.Record{Key: p.key(p.count), Value: value})
		e.storedParts[p.job] = append(e.storedParts[p.job], p.key(p.count))
		p.count++
	}
	return append(records, p.list())
}

// decode returns the progress of jobs by their IDs, from all records of jobs that are stored.
// unreadable is called for each record that cannot be decoded. Parts that no
// list names were left by a leader that was replaced before it stored the list.
func (e *progressEncoder) decode(stored []store.Record, unreadable func(key string, err error)) map[string]*work.Progress {
	parts := map[string][]byte{}
	for i := range stored {
		if r := &stored[i]; strings.HasPrefix(r.Key, partKeyPrefix) {
			parts[r.Key] = r.Value
			e.storedParts[jobOfRecord(r.Key)] = append(e.storedParts[jobOfRecord(r.Key)], r.Key)
		}
	}
	progress := make(map[string]*work.Progress, len(stored))
	for i := range stored {
		r := &stored[i]
		if strings.HasPrefix(r.Key, partKeyPrefix) {
			continue
		}
		value, err := joinParts(r, parts)
		if err != nil {
			unreadable(r.Key, err)
			continue
		}
		p, err := decodeProgress(value)
		if err != nil {
			unreadable(r.Key, err)
			continue
		}
		p.Offset = r.Offset
		progress[r.Key] = p
	}
	return progress
}

// gzipHeader begins a compressed value. JSON does not begin with it.
var gzipHeader = []byte{0x1f, 0x8b}

// decodeProgress decodes the value of a progress record, which may be compressed.
func decodeProgress(value []byte) (*work.Progress, error) {
	if bytes.HasPrefix(value, gzipHeader) {
		var err error
		if value, err = decompress(value, noSizeLimit); err != nil {
			return nil, err
		}
	}
	return work.Decode[work.Progress](value)
}

// joinParts returns the value of a progress record, which may be divided into parts. parts holds
// the values of all parts by their keys.
func joinParts(r *store.Record, parts map[string][]byte) ([]byte, error) {
	list, ok := parsePartList(r)
	if !ok {
		return r.Value, nil
	}
	var value []byte
	for i := range list.count {
		part, stored := parts[list.key(i)]
		if !stored {
			return nil, fault.Newf("join_parts", work.KindMalformed, "part %d of %d is missing", i, list.count)
		}
		value = append(value, part...)
	}
	return value, nil
}
