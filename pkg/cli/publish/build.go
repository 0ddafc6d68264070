package publish

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/bundle/bundledir"
	"github.com/flamingomount/flamingomount/pkg/bundle/source"
	"github.com/flamingomount/flamingomount/pkg/published"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// buildFlags are the flags of bundle build.
type buildFlags struct {
	out      string
	previous string
	revision uint64
}

func buildCommand() *cobra.Command {
	f := &buildFlags{}
	cmd := &cobra.Command{
		Use:   "build FILE-OR-DIRECTORY...",
		Short: "Build an unsigned bundle of the operators' files",
		Args:  cobra.MinimumNArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return f.run(cmd, args) },
	}
	cmd.Flags().StringVar(&f.out, "out", "", "directory to write the bundle to")
	cmd.Flags().StringVar(&f.previous, "previous", "", "directory of the bundle that this one follows")
	cmd.Flags().Uint64Var(&f.revision, "revision", 0, "revision; default: one above the previous bundle's")
	_ = cmd.MarkFlagRequired("out")
	return cmd
}

func (f *buildFlags) run(cmd *cobra.Command, args []string) error {
	revision, previous, before, err := f.follow()
	if err != nil {
		return err
	}
	files, err := readSources(args)
	if err != nil {
		return err
	}
	config, err := source.Load(files, revision, time.Now())
	if err != nil {
		return err
	}
	config.SetPlacementRevision(before)
	built, err := bundle.Build(config, previous)
	if err != nil {
		return err
	}
	if err := writeBundle(f.out, built); err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %s: %d services, %d organisations, %d blobs, %d packs, written to %s\n",
		revision, len(config.Services), len(config.Orgs), len(built.Blobs), len(built.Packs), f.out)
	return err
}

// follow returns the revision to build, and hash and configuration of the
// bundle before it; the configuration is nil for a first bundle.
func (f *buildFlags) follow() (types.Revision, bundle.Hash, *published.Configuration, error) {
	revision := types.Revision(f.revision)
	if f.previous == "" {
		if revision == 0 {
			return 0, "", nil, eris.New("give --previous, or --revision for a first bundle")
		}
		return revision, "", nil, nil
	}
	previous, err := bundledir.Read(f.previous)
	if err != nil {
		return 0, "", nil, err
	}
	before, err := previous.OpenUnchecked()
	if err != nil {
		return 0, "", nil, err
	}
	if revision == 0 {
		revision = before.Revision + 1
	}
	if revision <= before.Revision {
		return 0, "", nil, eris.Errorf("revision %s is not above the previous bundle's %s", revision, before.Revision)
	}
	return revision, bundle.HashOf(previous.Signed.Manifest), before, nil
}
