// Package reply writes the answers of stand-ins.
package reply

import (
	"encoding/json"
	"net/http"
)

// JSON answers 200 with a value as JSON. A caller that is gone needs no answer,
// so errors of writing are ignored.
func JSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
