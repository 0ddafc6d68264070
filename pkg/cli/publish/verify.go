package publish

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/bundle/bundledir"
)

func verifyCommand() *cobra.Command {
	var keyPaths []string
	cmd := &cobra.Command{
		Use:   "verify DIRECTORY",
		Short: "Check a bundle's signature, hashes, sizes and packs",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return verify(cmd, args[0], keyPaths)
		},
	}
	cmd.Flags().StringArrayVar(&keyPaths, "key", nil, "file of public keys, any of which may have signed")
	_ = cmd.MarkFlagRequired("key")
	return cmd
}

func verify(cmd *cobra.Command, dir string, keyPaths []string) error {
	keys, err := readKeys(keyPaths)
	if err != nil {
		return err
	}
	b, err := bundledir.Read(dir)
	if err != nil {
		return err
	}
	config, err := bundle.OpenAll(b, keys)
	if err != nil {
		return eris.Wrapf(err, "%s", dir)
	}
	manifest, err := b.Signed.Decode()
	if err != nil {
		return err
	}
	if err := b.CheckPacks(manifest); err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %s, hash %s: good; %d services, %d organisations\n",
		config.Revision, config.Hash, len(config.Services), len(config.Orgs))
	return err
}
