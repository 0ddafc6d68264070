package catalog_test

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"errors"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
)

// memory refuses what is reserved beyond its limit; a negative one refuses nothing.
type memory struct {
	limit, reserved int64
}

var errNoMemory = errors.New("no memory")

// Reserve implements catalog.Memory.
func (m *memory) Reserve(n int64) error {
	if m.limit >= 0 && m.reserved+n > m.limit {
		return errNoMemory
	}
	m.reserved += n
	return nil
}

// ReserveDecodedFrom implements catalog.Memory.
func (m *memory) ReserveDecodedFrom(document []byte) error {
	return m.Reserve(int64(len(document)))
}

// Guards against configurations that change, or can't be read, on their way between daemons.
var _ = Describe("A packed delta", func() {
	noLimit := &memory{limit: -1}
	newDelta := func() *catalog.Delta {
		config := &catalog.Config{Version: 7, Routes: []*catalog.Route{{Name: "r", Host: "a.example", Prefix: "/r/"}}}
		config.Prepare()
		return &catalog.Delta{Era: 2, From: 3, To: 9, Records: []catalog.Record{
			{Key: "servers/e", Revision: 8, Era: 2, Endpoint: &catalog.Endpoint{ID: "e"}},
			{Key: "op/config", Revision: 9, Era: 2, Config: config},
		}}
	}
	pack := func(delta *catalog.Delta) *catalog.Delta {
		packed, found, err := delta.Pack()
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		return packed
	}
	zip := func(text string) []byte {
		var zipped bytes.Buffer
		writer := gzip.NewWriter(&zipped)
		_, err := writer.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(writer.Close()).To(Succeed())
		return zipped.Bytes()
	}

	It("holds what the delta holds, and leaves that as it is", func() {
		delta := newDelta()
		packed := pack(delta)
		Expect(packed.Records[1].Config).To(BeNil())
		Expect(delta.Records[1].Config).NotTo(BeNil())
		Expect(packed.Unpack(noLimit)).To(Succeed())
		state := catalog.NewState()
		Expect(state.Apply(*packed, start)).To(BeFalse(), "changes before it are missing")
		Expect(state.ConfigVersion()).To(BeEquivalentTo(7))
		Expect(state.ConfigRecord().Config.Match("a.example", "/r/x").Name).To(Equal("r"))
		Expect(packed.Records[0]).To(Equal(delta.Records[0]))
	})

	It("is passed on as it came", func() {
		first := pack(newDelta())
		bytesOf := func(d *catalog.Delta) []byte { return bytes.Clone(d.Records[1].PackedConfig) }
		sent := bytesOf(first)
		Expect(first.Unpack(noLimit)).To(Succeed())
		first.Records[1].Config.Prepare()
		Expect(bytesOf(pack(first))).To(Equal(sent))
	})

	It("is the delta itself if there is no configuration", func() {
		delta := &catalog.Delta{Records: []catalog.Record{{Key: "k"}}}
		packed, found, err := delta.Pack()
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
		Expect(packed).To(BeIdenticalTo(delta))
	})

	It("takes no memory that is not there", func() {
		packed := pack(newDelta())
		packed.Records[1].PackedConfig = zip(`{"version":7}` + strings.Repeat(" ", 1<<20))
		small := &memory{limit: 1 << 20}
		Expect(packed.Unpack(small)).To(MatchError(errNoMemory))
		Expect(small.reserved).To(BeZero(), "nothing is unpacked")
		decoded := &memory{limit: 3 << 19}
		Expect(packed.Unpack(decoded)).To(MatchError(errNoMemory))
		Expect(decoded.reserved).To(BeNumerically(">", 1<<20), "nothing is decoded")
	})

	It("has no more bytes than it tells", func() {
		packed := pack(newDelta())
		zipped := zip(`{"version":7}` + strings.Repeat(" ", 1<<20))
		binary.LittleEndian.PutUint32(zipped[len(zipped)-4:], 10)
		packed.Records[1].PackedConfig = zipped
		Expect(packed.Unpack(noLimit)).NotTo(Succeed())
	})

	DescribeTable("can't be read if its bytes are none of a configuration", func(data []byte) {
		packed := pack(newDelta())
		packed.Records[1].PackedConfig = data
		Expect(packed.Unpack(noLimit)).NotTo(Succeed())
		Expect(packed.Records[1].Config).To(BeNil())
	},
		Entry("no compressed bytes", []byte("{}")),
		Entry("too few bytes", []byte{1, 2}),
		Entry("no document", zip("no document")),
		Entry("cut off", zip(`{"version":7}`)[:20]),
		Entry("more than a configuration may have", zip(`{"version":7}`+strings.Repeat(" ", 9<<20))),
	)
})
