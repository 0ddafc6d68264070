package publish

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/bundle/bundledir"
)

func signCommand() *cobra.Command {
	var keyPaths []string
	cmd := &cobra.Command{
		Use:   "sign DIRECTORY",
		Short: "Sign a bundle with one or more private keys",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return sign(cmd, args[0], keyPaths)
		},
	}
	cmd.Flags().StringArrayVar(&keyPaths, "key", nil, "file of a private key; repeat it while keys are rotated")
	_ = cmd.MarkFlagRequired("key")
	return cmd
}

func sign(cmd *cobra.Command, dir string, keyPaths []string) error {
	signers, err := readSigners(keyPaths)
	if err != nil {
		return err
	}
	b, err := bundledir.Read(dir)
	if err != nil {
		return err
	}
	if _, err := b.Signed.Decode(); err != nil {
		return err
	}
	data, err := json.Marshal(bundle.Sign(b.Signed, signers...))
	if err != nil {
		return eris.Wrap(err, "encode the manifest")
	}
	if err := writeManifest(dir, data); err != nil {
		return err
	}
	for _, signer := range signers {
		if _, err := fmt.Fprintf(cmd.OutOrStdout(), "signed with key %s\n", signer.ID); err != nil {
			return err
		}
	}
	return nil
}
