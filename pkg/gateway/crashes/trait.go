// Package crashes finds out what in requests crashes the endpoints that run them,
// and decides what to withhold from all endpoints.
//
// A request has traits: its whole content, and each part of its prompt that other
// requests may share. When an endpoint crashes, the traits of every request that it
// ran and that had not yet got on with its answer are suspects. An answer that goes
// on, anywhere in the fleet, clears the traits of its request of all earlier crashes.
// What is left in several crashes explains them and is withheld.
//
// Daemons exchange crashes and clearances; both merge in any order. The package is
// deterministic: times are parameters.
package crashes

import (
	"encoding"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/types"
)

// Trait identifies something that requests can have in common, for one service or for
// all of them.
type Trait uint64

// ofService marks the traits of one service.
const ofService Trait = 1 << 63

// AllServices stands for the traits that requests to different services can share.
const AllServices types.ServiceName = ""

// Of returns the trait of requests to one service that have a trait of all services.
func (t Trait) Of(service types.ServiceName) Trait {
	if service == AllServices {
		return t
	}
	return Trait(xxhash.Sum64String(t.String()+string(service))) | ofService
}

// ContentTrait is the trait of requests with the same method, path, query and body.
func ContentTrait(service types.ServiceName, method, path, query string, body []byte) Trait {
	digest := xxhash.New()
	// Writing to a digest never fails.
	_, _ = fmt.Fprintf(digest, "content\n%s %s?%s\n", method, path, query)
	_, _ = digest.Write(body)
	return (Trait(digest.Sum64()) &^ ofService).Of(service)
}

// PartTrait is the trait of requests whose prompts share a part.
func PartTrait(service types.ServiceName, part string) Trait {
	return (Trait(xxhash.Sum64String("part\n"+part)) &^ ofService).Of(service)
}

// String returns the trait as it is logged.
func (t Trait) String() string {
	return fmt.Sprintf("%016x", uint64(t))
}

// MarshalText implements encoding.TextMarshaler.
func (t Trait) MarshalText() ([]byte, error) {
	return []byte(t.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Trait) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return eris.Wrap(err, "trait")
	}
	*t = Trait(value)
	return nil
}

// traitBytes is the encoded size of a trait.
const traitBytes = 8

// Traits is a list of traits. It is encoded as one string of bytes.
type Traits []Trait

var (
	_ encoding.TextMarshaler   = Trait(0)
	_ encoding.TextUnmarshaler = (*Trait)(nil)
	_ json.Marshaler           = Traits(nil)
	_ json.Unmarshaler         = (*Traits)(nil)
)

// Names returns the traits as they are logged.
func (t Traits) Names() string {
	names := make([]string, 0, len(t))
	for _, trait := range t {
		names = append(names, trait.String())
	}
	return strings.Join(names, " ")
}

// MarshalJSON implements json.Marshaler.
func (t Traits) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, traitBytes*len(t))
	for _, trait := range t {
		packed = binary.BigEndian.AppendUint64(packed, uint64(trait))
	}
	return json.Marshal(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Traits) UnmarshalJSON(data []byte) error {
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return eris.Wrap(err, "traits")
	}
	if len(packed)%traitBytes != 0 {
		return eris.New("traits: a trait is incomplete")
	}
	*t = make(Traits, 0, len(packed)/traitBytes)
	for ; len(packed) > 0; packed = packed[traitBytes:] {
		*t = append(*t, Trait(binary.BigEndian.Uint64(packed)))
	}
	return nil
}
