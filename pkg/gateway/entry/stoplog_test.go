package entry_test

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/gateway/entry"
)

// Guards against lines about requests that a stop ends which ordinary failures displace,
// and against a stop whose lines do not fit into the log's buffer.
var _ = Describe("the lines about requests that a stop ends", func() {
	It("have a limit of their own", func() {
		var out bytes.Buffer
		requests := entry.NewRequestLog(entry.NewLog(&out))
		for range 1000 {
			requests.Request(logrus.Fields{"request": "f", "stop_ms": int64(5)}, true)
		}
		for range 100 {
			requests.Request(logrus.Fields{"request": "s", "stop_ms": int64(5), "ended_by": "schedule"}, true)
		}
		Expect(strings.Count(out.String(), `"request":"s"`)).To(Equal(100))
	})

	It("are bounded, so that they fit into the buffer", func() {
		var out bytes.Buffer
		requests := entry.NewRequestLog(entry.NewLog(&out))
		for range 10 * entry.LineBuffer {
			requests.Request(logrus.Fields{"request": "s", "stop_ms": int64(5), "ended_by": "cut"}, true)
		}
		Expect(strings.Count(out.String(), "\n")).To(BeNumerically("<", entry.LineBuffer))
	})
})
