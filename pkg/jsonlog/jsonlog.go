// Package jsonlog formats logrus entries as JSON lines. Fields that are written
// for every request come as one Line, which appends itself without reflection.
package jsonlog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
)

// FieldLine is the field under which a Line is given to logrus.
const FieldLine = "line"

// Line is a group of fields that appends itself to a JSON object, each field
// preceded by a comma.
type Line interface {
	AppendFields(dst []byte) []byte
}

// Formatter writes one JSON object a line: time, level, msg and the fields.
type Formatter struct{}

var _ logrus.Formatter = Formatter{}

// Format returns the line of an entry.
func (Formatter) Format(entry *logrus.Entry) ([]byte, error) {
	var dst []byte
	if entry.Buffer != nil {
		dst = entry.Buffer.AvailableBuffer()
	}
	dst = append(dst, `{"time":"`...)
	dst = entry.Time.AppendFormat(dst, time.RFC3339Nano)
	dst = append(dst, `","level":"`...)
	dst = append(dst, entry.Level.String()...)
	dst = append(dst, '"')
	dst = AppendString(dst, "msg", entry.Message)
	dst = appendData(dst, entry.Data)
	return append(dst, "}\n"...), nil
}

func appendData(dst []byte, data logrus.Fields) []byte {
	if line, found := data[FieldLine].(Line); found {
		dst = line.AppendFields(dst)
		if len(data) == 1 {
			return dst
		}
	}
	keys := make([]string, 0, len(data))
	for key := range data {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if _, isLine := data[key].(Line); !isLine {
			dst = appendValue(dst, key, data[key])
		}
	}
	return dst
}

func appendValue(dst []byte, key string, value any) []byte {
	switch typed := value.(type) {
	case string:
		return AppendString(dst, key, typed)
	case error:
		return AppendString(dst, key, typed.Error())
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return AppendString(dst, key, fmt.Sprint(value))
	}
	return append(appendKey(dst, key), encoded...)
}

func appendKey(dst []byte, key string) []byte {
	dst = append(dst, ',')
	dst = appendQuoted(dst, key)
	return append(dst, ':')
}

// AppendString appends a text field.
func AppendString(dst []byte, key, value string) []byte {
	return appendQuoted(appendKey(dst, key), value)
}

// AppendInt appends a number field.
func AppendInt(dst []byte, key string, value int64) []byte {
	return strconv.AppendInt(appendKey(dst, key), value, 10)
}

// AppendBool appends a field that is true or false.
func AppendBool(dst []byte, key string, value bool) []byte {
	return strconv.AppendBool(appendKey(dst, key), value)
}

// appendQuoted appends a JSON string.
func appendQuoted(dst []byte, text string) []byte {
	if !plain(text) {
		// A string is always encodable.
		encoded, _ := json.Marshal(text)
		return append(dst, encoded...)
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}

// plain reports whether the text needs no escape in JSON.
func plain(text string) bool {
	for i := range len(text) {
		c := text[i]
		if c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
