// Package jsonlog formats logrus entries as JSON lines. The fields that are
// logged for every request are passed as one Line, which encodes itself without
// reflection.
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

// FieldLine is the key under which a Line is passed to logrus.
const FieldLine = "line"

// Line is a group of fields that appends itself to a JSON object, each field
// preceded by a comma.
type Line interface {
	AppendFields(dst []byte) []byte
}

// Formatter encodes each entry as a JSON object on a line of its own: time,
// level, msg and the entry's fields.
type Formatter struct{}

var _ logrus.Formatter = Formatter{}

// Format returns the entry as a JSON object followed by a newline.
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

// AppendString appends a comma and a string field.
func AppendString(dst []byte, key, value string) []byte {
	return appendQuoted(appendKey(dst, key), value)
}

// AppendInt appends a comma and an integer field.
func AppendInt(dst []byte, key string, value int64) []byte {
	return strconv.AppendInt(appendKey(dst, key), value, 10)
}

// AppendBool appends a comma and a Boolean field.
func AppendBool(dst []byte, key string, value bool) []byte {
	return strconv.AppendBool(appendKey(dst, key), value)
}

// appendQuoted appends text as a JSON string.
func appendQuoted(dst []byte, text string) []byte {
	if !needsNoEscape(text) {
		// json.Marshal never fails on a string.
		encoded, _ := json.Marshal(text)
		return append(dst, encoded...)
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}

// needsNoEscape reports whether text can be written as a JSON string
// without escaping. It is false for all text that is not ASCII.
func needsNoEscape(text string) bool {
	for i := range len(text) {
		c := text[i]
		if c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
