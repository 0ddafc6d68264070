package jsonlog_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/flamingomount/flamingomount/pkg/jsonlog"
)

func TestJSONLog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jsonlog")
}

// line is a jsonlog.Line of three fields.
type line string

// AppendFields appends the fields text, n and ok.
func (l line) AppendFields(dst []byte) []byte {
	return jsonlog.AppendBool(jsonlog.AppendInt(jsonlog.AppendString(dst, "text", string(l)), "n", -3), "ok", true)
}

var _ = It("writes each entry as one valid JSON line, whatever the texts hold", func() {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(jsonlog.Formatter{})
	log.WithTime(time.Unix(0, 0).UTC()).WithField(jsonlog.FieldLine, line("a\"b\n\xff")).
		WithFields(logrus.Fields{"z\n": 1.5, "cause": errors.New(`x\y`), "bad": func() {}}).Info("say \"hi\"")
	log.Warn("second")
	rows := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	Expect(rows).To(HaveLen(2))
	var entry struct {
		Time, Level, Msg, Text, Cause, Bad string
		N                                  int
		OK                                 bool
	}
	Expect(json.Unmarshal(rows[0], &entry)).To(Succeed(), "%s", rows[0])
	Expect(entry.Time).To(Equal("1970-01-01T00:00:00Z"))
	Expect(entry.Msg).To(Equal(`say "hi"`))
	Expect(entry.Text).To(HavePrefix("a\"b\n"))
	Expect(entry.Cause).To(Equal(`x\y`))
	Expect(entry.N).To(Equal(-3))
	Expect(entry.OK).To(BeTrue())
	Expect(json.Valid(rows[1])).To(BeTrue())
})
