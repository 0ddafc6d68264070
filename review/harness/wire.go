package main

import (
	_ "embed"
	"encoding/json"
)

// wireText maps the harness's words to the names of the users' platform, which no
// code outside platform/ may spell.
//
//go:embed wire.json
var wireText []byte

var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}()
