package ctl

import (
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"

	"siskinvale.dev/siskinvale/internal/bundle"
)

type keysNew struct {
	*app `no-flag:"true"`
	ID   string `long:"id" required:"yes" description:"identifier of the key in bundles and keyrings"`
	Role string `long:"role" required:"yes" choice:"author" choice:"approver" description:"role that the key signs for"`
	Out  string `long:"out" required:"yes" value-name:"PREFIX" description:"the private key is written to PREFIX.pem, the public key to PREFIX.pub.pem"`
}

// keyResult describes a new key in JSON output.
type keyResult struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Public  string `json:"public"`
	Private string `json:"privateFile"`
}

// Execute creates a key pair and writes it to two files. It never overwrites a
// file, because a lost private key cannot be restored.
func (c *keysNew) Execute([]string) error {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("create key: %w", err)
	}
	key := bundle.SigningKey{ID: c.ID, Role: c.Role, Private: private}
	if err := key.Check(); err != nil {
		return usageErrorf("%w", err)
	}
	privatePEM, err := key.EncodePrivate()
	if err != nil {
		return err
	}
	publicPEM, err := key.EncodePublic()
	if err != nil {
		return err
	}
	if err := createFile(c.Out+".pem", privatePEM, 0o600); err != nil {
		return err
	}
	if err := createFile(c.Out+".pub.pem", publicPEM, 0o644); err != nil {
		return err
	}
	public := bundle.EncodePublicKey(key.Public())
	if c.asJSON() {
		return c.printJSON(keyResult{ID: c.ID, Role: c.Role, Public: public, Private: c.Out + ".pem"})
	}
	c.note("wrote %s.pem (keep it secret) and %s.pub.pem; the line for %ss in the keyring of the node settings:", c.Out, c.Out, c.Role)
	_, err = fmt.Fprintf(c.Stdout, "%s: %s\n", c.ID, public)
	return err
}

// createFile writes a new file and fails if the file exists.
func createFile(name string, content []byte, mode os.FileMode) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return usageErrorf("%w", err)
	}
	_, err = f.Write(content)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return usageErrorf("%w", err)
	}
	return nil
}

// readKey reads a private key and checks that it is meant for the role.
func readKey(file, role string) (bundle.SigningKey, error) {
	content, err := readFile(file)
	if err != nil {
		return bundle.SigningKey{}, err
	}
	key, err := bundle.DecodeSigningKey(content)
	if err != nil {
		return bundle.SigningKey{}, usageErrorf("%s: %w", file, err)
	}
	if key.Role != role {
		return bundle.SigningKey{}, refusedErrorf("key %s has the role %s, but the role %s is required", key.ID, key.Role, role)
	}
	return key, nil
}

// keyring reads the file that the option --keyring names. Without the option it
// returns nil.
func (a *app) keyring() (*bundle.Keyring, error) {
	if a.options.Keyring == "" {
		return nil, nil
	}
	content, err := readFile(a.options.Keyring)
	if err != nil {
		return nil, err
	}
	var file struct {
		Authors   map[string]string `yaml:"authors"`
		Approvers map[string]string `yaml:"approvers"`
	}
	if err := yaml.UnmarshalWithOptions(content, &file, yaml.Strict()); err != nil {
		return nil, usageErrorf("%s: %w", a.options.Keyring, err)
	}
	authors, err := publicKeys(file.Authors)
	if err != nil {
		return nil, usageErrorf("%s: %w", a.options.Keyring, err)
	}
	approvers, err := publicKeys(file.Approvers)
	if err != nil {
		return nil, usageErrorf("%s: %w", a.options.Keyring, err)
	}
	return &bundle.Keyring{Authors: authors, Approvers: approvers}, nil
}

func publicKeys(encodedKeys map[string]string) (map[string]ed25519.PublicKey, error) {
	keys := make(map[string]ed25519.PublicKey, len(encodedKeys))
	for id, encoded := range encodedKeys {
		key, err := bundle.DecodePublicKey(encoded)
		if err != nil {
			return nil, fmt.Errorf("key %s: %w", id, err)
		}
		keys[id] = key
	}
	return keys, nil
}
