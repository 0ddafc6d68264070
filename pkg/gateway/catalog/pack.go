package catalog

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/wholebody"
)

// maxConfigBytes bounds the JSON of a configuration that another daemon has packed.
const maxConfigBytes = 8 << 20

// packedConfig holds the JSON of a configuration, compressed. A daemon that got it from
// another one passes on the same bytes. It is safe for concurrent use.
type packedConfig struct {
	mu   sync.Mutex
	data []byte
}

// HoldsConfig reports whether a record of the delta holds a configuration.
func (d *Delta) HoldsConfig() bool {
	return slices.ContainsFunc(d.Records, func(record Record) bool { return record.Config != nil })
}

// Pack returns the delta with its configurations packed, which takes a fraction of their bytes,
// and reports whether it has any. The receiver calls Unpack.
func (d *Delta) Pack() (packed *Delta, found bool, err error) {
	found = d.HoldsConfig()
	if !found {
		return d, false, nil
	}
	copied := *d
	copied.Records = slices.Clone(d.Records)
	for i := range copied.Records {
		record := &copied.Records[i]
		if record.Config == nil {
			continue
		}
		if record.PackedConfig, err = record.Config.pack(); err != nil {
			return nil, true, err
		}
		record.Config = nil
	}
	return &copied, true, nil
}

// Memory limits what unpacking takes. Its methods return an error if the memory is not there.
type Memory interface {
	// Reserve reserves a number of bytes.
	Reserve(n int64) error
	// ReserveDecodedFrom reserves what the values of a JSON document take.
	ReserveDecodedFrom(document []byte) error
}

// Unpack restores the configurations of a packed delta within a memory. It returns an error if
// one can't be read, or the memory's error.
func (d *Delta) Unpack(memory Memory) error {
	for i := range d.Records {
		record := &d.Records[i]
		if len(record.PackedConfig) == 0 {
			continue
		}
		config, err := unpackConfig(record.PackedConfig, memory)
		if err != nil {
			return eris.Wrap(err, "packed configuration")
		}
		record.Config, record.PackedConfig = config, nil
	}
	return nil
}

// pack returns the configuration's packed form. Only the first call computes it once the
// configuration is prepared.
func (c *Config) pack() ([]byte, error) {
	if c.packed == nil {
		return packConfig(c)
	}
	c.packed.mu.Lock()
	defer c.packed.mu.Unlock()
	if c.packed.data != nil {
		return c.packed.data, nil
	}
	data, err := packConfig(c)
	if err != nil {
		return nil, err
	}
	c.packed.data = data
	return data, nil
}

func packConfig(c *Config) ([]byte, error) {
	encoded, err := json.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "pack configuration")
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(encoded); err != nil {
		return nil, eris.Wrap(err, "pack configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "pack configuration")
	}
	return packed.Bytes(), nil
}

func unpackConfig(packed []byte, memory Memory) (*Config, error) {
	document, err := inflate(packed, memory)
	if err != nil {
		return nil, err
	}
	if err := memory.ReserveDecodedFrom(document); err != nil {
		return nil, err
	}
	config := &Config{packed: &packedConfig{data: packed}}
	if err := json.Unmarshal(document, config); err != nil {
		return nil, err
	}
	return config, nil
}

// inflate returns the bytes that were compressed. They may be as many as the last bytes of the
// packed ones tell, and at most maxConfigBytes.
func inflate(packed []byte, memory Memory) ([]byte, error) {
	const sizeBytes = 4
	if len(packed) < sizeBytes {
		return nil, io.ErrUnexpectedEOF
	}
	size := int64(binary.LittleEndian.Uint32(packed[len(packed)-sizeBytes:]))
	if size > maxConfigBytes {
		return nil, wholebody.ErrTooLarge
	}
	if err := memory.Reserve(size); err != nil {
		return nil, err
	}
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return wholebody.Read(reader, size)
}
