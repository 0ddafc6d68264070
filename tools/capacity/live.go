package main

import (
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/internal/livefleet"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// runLive measures real daemons of this process over loopback TCP: bytes with
// headers, and processor time with the HTTP library's.
func runLive(out io.Writer, opts options) error {
	for _, size := range opts.live {
		if err := measureLive(out, opts, size); err != nil {
			return err
		}
	}
	return nil
}

func measureLive(out io.Writer, opts options, size int) error {
	f, err := livefleet.Start(size, opts.organisations/max(opts.thinning, 1), opts.seed)
	if err != nil {
		return err
	}
	defer f.Stop()
	started := time.Now()
	if err := awaitRevision(f, 1); err != nil {
		return err
	}
	ready := time.Since(started)
	const warmUp = 10 * time.Second
	time.Sleep(warmUp)
	bytes, reads, cpu := f.Bytes.Load(), f.Platform.Reads.Load(), processorTime()
	var worst time.Duration
	for range opts.liveChanges {
		published := time.Now()
		if err := awaitRevision(f, f.Platform.Publish()); err != nil {
			return err
		}
		worst = max(worst, time.Since(published))
		time.Sleep(time.Until(published.Add(publishEvery)))
	}
	seconds := (time.Duration(opts.liveChanges) * publishEvery).Seconds()
	daemons := float64(size)
	// A byte counts for the daemon that sends it and for the one that gets it.
	const ends = 2
	_, err = fmt.Fprintf(out, "live, %d daemons: ready after %.1f s; both ways %.0f bytes/s a daemon; %.3f%% of a core a daemon; "+
		"%.2f configuration reads/s; %d changes, last daemon after at most %.2f s\n", size, ready.Seconds(),
		ends*float64(f.Bytes.Load()-bytes)/seconds/daemons, (processorTime()-cpu).Seconds()/seconds/daemons*100,
		float64(f.Platform.Reads.Load()-reads)/seconds, opts.liveChanges, worst.Seconds())
	return err
}

// awaitRevision waits until every daemon has the revision in force.
func awaitRevision(f *livefleet.Fleet, revision types.Revision) error {
	const limit, poll = time.Minute, 10 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(poll) {
		if oldestLive(f) >= revision {
			return nil
		}
	}
	return eris.Errorf("revision %s is not in force everywhere after %s", revision, limit)
}

func oldestLive(f *livefleet.Fleet) types.Revision {
	oldest := ^types.Revision(0)
	for _, d := range f.Daemons {
		config := d.Load().Config
		if config == nil {
			return 0
		}
		oldest = min(oldest, config.Revision)
	}
	return oldest
}
