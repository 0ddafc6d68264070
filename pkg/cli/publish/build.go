package publish

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/bundle/bundledir"
	"github.com/flamingomount/flamingomount/pkg/bundle/source"
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
	revision, previous, err := f.follow()
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

// follow returns the revision to build and the hash of the manifest before it.
func (f *buildFlags) follow() (types.Revision, bundle.Hash, error) {
	revision := types.Revision(f.revision)
	if f.previous == "" {
		if revision == 0 {
			return 0, "", eris.New("give --previous, or --revision for a first bundle")
		}
		return revision, "", nil
	}
	previous, err := bundledir.Read(f.previous)
	if err != nil {
		return 0, "", err
	}
	manifest, err := previous.Signed.Decode()
	if err != nil {
		return 0, "", err
	}
	if revision == 0 {
		revision = manifest.Revision + 1
	}
	if revision <= manifest.Revision {
		return 0, "", eris.Errorf("revision %s is not above the previous bundle's %s", revision, manifest.Revision)
	}
	return revision, bundle.HashOf(previous.Signed.Manifest), nil
}
