package publish

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/bundle/keyfile"
	"github.com/flamingomount/flamingomount/pkg/bundle/source"
)

const (
	dirMode     = 0o755
	fileMode    = 0o644
	privateMode = 0o600
)

// readSources reads files, and every .yaml and .yml file below directories.
func readSources(paths []string) ([]source.File, error) {
	var files []source.File
	for _, path := range paths {
		err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() || (name != path && !isYAML(name)) {
				return nil
			}
			data, err := os.ReadFile(name)
			files = append(files, source.File{Name: name, Data: data})
			return err
		})
		if err != nil {
			return nil, eris.Wrapf(err, "read %s", path)
		}
	}
	if len(files) == 0 {
		return nil, eris.Errorf("no .yaml or .yml file in %s", strings.Join(paths, ", "))
	}
	return files, nil
}

func isYAML(name string) bool {
	ext := filepath.Ext(name)
	return ext == ".yaml" || ext == ".yml"
}

// writeBundle writes one file for each key. The manifest goes last, as it must
// when the values are uploaded.
func writeBundle(dir string, b *bundle.Bundle) error {
	values, err := b.Values()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "create the bundle's directory")
	}
	for key, data := range values {
		if key == bundle.ManifestKey {
			continue
		}
		if err := os.WriteFile(filepath.Join(dir, key), data, fileMode); err != nil {
			return eris.Wrap(err, "write the bundle")
		}
	}
	return writeManifest(dir, values[bundle.ManifestKey])
}

func writeManifest(dir string, data []byte) error {
	err := os.WriteFile(filepath.Join(dir, bundle.ManifestKey), data, fileMode)
	return eris.Wrap(err, "write the manifest")
}

func readKeys(paths []string) (bundle.Keys, error) {
	keys := bundle.Keys{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "read a public key")
		}
		more, err := keyfile.ParseKeys(data)
		if err != nil {
			return nil, eris.Wrap(err, path)
		}
		for id, key := range more {
			keys[id] = key
		}
	}
	return keys, nil
}

func readSigners(paths []string) ([]bundle.Signer, error) {
	var signers []bundle.Signer
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "read a private key")
		}
		signer, err := keyfile.ParseSigner(data)
		if err != nil {
			return nil, eris.Wrap(err, path)
		}
		known := slices.ContainsFunc(signers, func(s bundle.Signer) bool { return s.ID == signer.ID })
		if !known {
			signers = append(signers, signer)
		}
	}
	return signers, nil
}
