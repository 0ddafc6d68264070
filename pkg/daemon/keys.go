package daemon

import (
	"encoding/base64"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/control/ticket"
	"github.com/flamingomount/flamingomount/pkg/settings"
	"github.com/flamingomount/flamingomount/pkg/stage/forward"
)

// maxKeyFileBytes is the largest accepted size of a key file.
const maxKeyFileBytes = 4 << 10

// loadKeys reads the key files named in the settings.
func loadKeys(configured []settings.Key) ([]Key, error) {
	keys := make([]Key, 0, len(configured))
	for _, key := range configured {
		secret, err := readSecret(key.File)
		if err != nil {
			return nil, eris.Wrapf(err, "peer key %s", key.ID)
		}
		keys = append(keys, Key{ID: key.ID, Secret: secret})
	}
	return keys, nil
}

func readSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxKeyFileBytes {
		return nil, eris.Errorf("%s has %d bytes, accepts at most %d", path, info.Size(), maxKeyFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	secret, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(data)))
	if err != nil {
		return nil, eris.Errorf("%s does not hold base64", path)
	}
	if len(secret) < ticket.MinSecretBytes {
		return nil, eris.Errorf("%s holds %d bytes, accepts at least %d", path, len(secret), ticket.MinSecretBytes)
	}
	return secret, nil
}

// ticketKeyring returns the keyring that signs tickets.
func ticketKeyring(keys []Key) (*ticket.Keyring, error) {
	ring := make([]ticket.Key, len(keys))
	for i, key := range keys {
		ring[i] = ticket.Key{ID: ticket.KeyID(key.ID), Secret: key.Secret}
	}
	return ticket.NewKeyring(ring...)
}

// forwardKeys returns the keys that seal forwarded requests.
func forwardKeys(keys []Key) []forward.Key {
	sealKeys := make([]forward.Key, len(keys))
	for i, key := range keys {
		sealKeys[i] = forward.Key{ID: key.ID, Secret: key.Secret}
	}
	return sealKeys
}
