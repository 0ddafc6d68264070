// Package bundledir reads a bundle from a directory that holds one file for each
// key of the configuration service. The file name is the key.
package bundledir

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/bundle"
)

// ReadValues returns the content of each file in dir, keyed by file name.
// Subdirectories are skipped.
func ReadValues(dir string) (map[string][]byte, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrap(err, "read the bundle's directory")
	}
	values := map[string][]byte{}
	for _, entry := range entries {
		if entry.IsDir() {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, eris.Wrap(err, "read the bundle")
		}
		values[entry.Name()] = data
	}
	return values, nil
}

// Read returns the bundle stored in dir. It verifies no signature.
func Read(dir string) (*bundle.Bundle, error) {
	values, err := ReadValues(dir)
	if err != nil {
		return nil, err
	}
	return bundle.FromValues(values)
}
