package scenario

import (
	"time"

	"github.com/flamingomount/flamingomount/internal/fakeworld"
	"github.com/flamingomount/flamingomount/pkg/route/pipeline"
	"github.com/flamingomount/flamingomount/pkg/stage/score"
)

// smallCache is a prefix cache that holds a small part of all prompts, so that
// it matters where a prompt runs.
const smallCache = 800

// Late and lossy cache events.
const (
	lateEvents = 10 * time.Second
	lostEvents = 0.2
)

var affinity = Scenario{
	Name:  "affinity",
	About: "ways to keep prompts near their cached prefixes, in small caches",
	Run: func(seed uint64) []Row {
		config := offered(seed, peakUrgent, peakPatient)
		config.CacheBlocks = smallCache
		load, pace, prefix := score.NewLoad(score.LoadOptions{}), score.NewPace(score.PaceOptions{}), score.NewPrefix(score.PrefixOptions{})
		shards := score.NewShards(score.ShardOptions{})
		late := config
		late.CacheEventDelay, late.CacheEventLoss = lateEvents, lostEvents
		oracle := config
		oracle.CacheEventDelay, oracle.CacheEventLoss = 0, 0
		return []Row{
			affinityRow("load only", config, load, pace),
			affinityRow("events", config, load, pace, prefix),
			affinityRow("shards", config, load, pace, shards),
			affinityRow("bounded rendezvous", config, load, pace, bounded{}),
			affinityRow("events + shards", config, load, pace, prefix, shards),
			affinityRow("events + bounded", config, load, pace, prefix, bounded{}),
			affinityRow("events 10 s late, 20% lost + shards", late, load, pace, prefix, shards),
			affinityRow("oracle: immediate events + shards", oracle, load, pace, prefix, shards),
			affinityRow("oracle: immediate events + bounded", oracle, load, pace, prefix, bounded{}),
			run("naive", config, fakeworld.Naive(), nil),
		}
	},
}

func affinityRow(variant string, config fakeworld.Config, scorers ...score.Scorer) Row {
	return run(variant, config, fakeworld.RealWith(pipeline.Options{Scorers: scorers}), nil)
}
