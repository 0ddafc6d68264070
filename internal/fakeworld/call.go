package fakeworld

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/request"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// Call is one request of a caller, with all its attempts.
type Call struct {
	Request *request.Request
	Stream  *Stream
	// Fatal is true when the request crashes the engine that runs it.
	Fatal bool
	// Attempts counts the attempts at engines, Away those in another region.
	Attempts int
	Away     int
	// History is the verdict over all attempts.
	History types.Verdict
	// FirstToken is when the answer began; zero if it never did.
	FirstToken time.Time
	// Resends counts how often the caller has returned.
	Resends int
	// Origin is the region where the caller arrived first.
	Origin   types.Region
	measured bool
	// first is the daemon that the caller used first; it owns the content.
	first *Daemon
}

// generator draws the calls of one stream.
type generator struct {
	world  *World
	stream *Stream
	rand   *rand.Rand
	// weight is the running sum of the organisations' weights.
	weight []float64
	serial int
}

func newGenerator(w *World, s *Stream, index int) *generator {
	g := &generator{world: w, stream: s, rand: rand.New(rand.NewPCG(w.Config.Seed, uint64(index)+streamSeed))}
	sum := 0.0
	for k := range max(s.Orgs, 1) {
		sum += 1 / float64(k+1)
		g.weight = append(g.weight, sum)
	}
	return g
}

// streamSeed and cacheSeed keep the random sources of a world apart.
const (
	streamSeed = 1000
	cacheSeed  = 2000
	daemonSeed = 3000
	worldSeed  = 4000
)

// idle is how long a stream waits before it looks at its rate again.
const idle = 100 * time.Millisecond

// next schedules the next arrival of a Poisson process.
func (g *generator) next() {
	since := g.world.clock.now.Sub(Epoch)
	if since >= g.world.Config.Duration {
		return
	}
	rate := g.stream.Rate(since)
	if rate <= 0 {
		g.world.clock.after(idle, g.next)
		return
	}
	gap := time.Duration(g.rand.ExpFloat64() / rate * float64(time.Second))
	g.world.clock.after(gap, func() {
		g.world.arrive(g.draw())
		g.next()
	})
}

// draw makes the next call.
func (g *generator) draw() *Call {
	g.serial++
	now := g.world.clock.now
	s := g.stream
	org := g.org()
	tokens := s.MinTokens + g.rand.IntN(s.MaxTokens-s.MinTokens+1)
	prefix := promptPrefix(org.Name, s, g.rand.IntN(max(s.Documents, 1)))
	return &Call{
		Stream:   s,
		Origin:   s.Region,
		measured: now.Sub(Epoch) >= g.world.Config.Warmup && now.Sub(Epoch) < g.world.Config.Duration,
		Request: &request.Request{
			ID:      types.RequestID(fmt.Sprintf("%s-%s-%d", s.Region, s.Name, g.serial)),
			Service: g.world.service, Org: org, Rank: s.Rank, Arrived: now, Deadline: now.Add(s.Deadline),
			Repeatable: true, Prefix: prefix, OutputTokens: tokens,
			InputTokens: len(prefix) * request.PrefixBlockBytes / bytesPerToken,
		},
	}
}

const bytesPerToken = 4

func (g *generator) org() *published.Organisation {
	at := g.rand.Float64() * g.weight[len(g.weight)-1]
	k, _ := slices.BinarySearch(g.weight, at)
	k = min(k, len(g.weight)-1)
	name := g.stream.Prefix
	if name == "" {
		name = g.stream.Name
	}
	return g.world.org(types.OrgName(fmt.Sprintf("%s-%d", name, k)))
}

// promptPrefix names the blocks of a prompt: a start that the organisation's
// requests share, then a document.
func promptPrefix(org types.OrgName, s *Stream, document int) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(org))
	hashes := make([]uint64, 0, s.SharedBlocks+s.DocumentBlocks)
	var block [8]byte
	for i := range s.SharedBlocks + s.DocumentBlocks {
		content := uint64(i)
		if i >= s.SharedBlocks {
			content |= uint64(document+1)<<32 | uint64(s.Rank)<<63
		}
		binary.LittleEndian.PutUint64(block[:], content)
		_, _ = digest.Write(block[:])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// expected is the usual time of the request in a full batch with a warm cache.
func expected(r *request.Request) time.Duration {
	return time.Duration(math.Max(float64(r.OutputTokens), 1)) * perOutputToken
}

func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		if a.call.Request.ID < b.call.Request.ID {
			return -1
		}
		return 1
	})
}
