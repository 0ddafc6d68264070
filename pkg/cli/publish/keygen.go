package publish

import (
	"crypto/rand"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/flamingomount/flamingomount/pkg/bundle/keyfile"
)

func keygenCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "keygen NAME",
		Short: "Write a new signing key to NAME.private.pem and NAME.public.pem",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return keygen(cmd, args[0]) },
	}
}

func keygen(cmd *cobra.Command, name string) error {
	private, public, err := keyfile.Generate(rand.Reader)
	if err != nil {
		return err
	}
	if err := writeNew(name+".private.pem", private, privateMode); err != nil {
		return err
	}
	if err := writeNew(name+".public.pem", public, fileMode); err != nil {
		return err
	}
	signer, err := keyfile.ParseSigner(private)
	if err != nil {
		return err
	}
	encoded, err := keyfile.Setting(public)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "key %s\nfor the daemons' setting bundle.public_keys: %s\n", signer.ID, encoded)
	return err
}

// writeNew writes a file that must not exist yet.
func writeNew(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return eris.Wrap(err, "create a key file")
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "write a key file")
	}
	return eris.Wrap(file.Close(), "close a key file")
}
