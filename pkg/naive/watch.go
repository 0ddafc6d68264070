package naive

import (
	"context"

	"github.com/flamingomount/flamingomount/pkg/platform"
)

// Watch follows a key at the configuration service itself, as every naive
// daemon does, and calls accept with each value, older ones included. It
// returns the first error.
func Watch(ctx context.Context, service platform.ConfigService, key string, accept func(platform.Value)) error {
	value, err := service.Read(ctx, key)
	for err == nil {
		accept(value)
		value, err = service.Watch(ctx, key, value.Version)
	}
	return err
}
