// Package mixedconfig gives tests a configuration with short urgent work beside long work.
package mixedconfig

import (
	"time"

	"github.com/flamingomount/flamingomount/pkg/gateway/catalog"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// New returns a prepared configuration that calls for predictions.
func New() *catalog.Config {
	const engines = types.ServiceName("engines")
	backends := []catalog.Backend{{Service: engines, Weight: 1}}
	config := &catalog.Config{
		Version:  1,
		Services: map[types.ServiceName]*catalog.Service{engines: {Name: engines, Engine: &catalog.Engine{Slots: 24}}},
		Routes: []*catalog.Route{
			{Name: "short", Rank: 0, Objective: 800 * time.Millisecond, Timeout: 5 * time.Second, Backends: backends},
			{Name: "long", Rank: 1, Objective: 1200 * time.Millisecond, Timeout: 10 * time.Second, Backends: backends},
		},
	}
	config.Prepare()
	return config
}
