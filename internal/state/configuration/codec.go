package configuration

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/plan"
)

// maxDecompressedBytes is the maximum size of a record after decompression.
const maxDecompressedBytes = 16 << 20

// gzipMagic is the prefix of gzip data, by which compressed records are recognised.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns a record as gzip-compressed JSON. Compression is worthwhile, since
// every entry VM reads every record and the lists contain many repeated words.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decode decodes a record from JSON, with or without gzip compression.
func decode(data []byte) (r Record, err error) {
	if bytes.HasPrefix(data, gzipMagic) {
		if data, err = decompress(data); err != nil {
			return r, fault.New("decode", KindInvalid, err)
		}
	}
	return r, plan.DecodeStrict(data, &r)
}

// decompress returns the decompressed data, or an error of KindInvalid if it is
// larger than maxDecompressedBytes.
func decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxDecompressedBytes {
		return nil, fault.Newf("decompress", KindInvalid, "the decompressed record is larger than %d bytes", maxDecompressedBytes)
	}
	return plain, nil
}
