package processtest

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// ctlTimeout is the maximum duration of one run of siskinvalectl.
const ctlTimeout = 30 * time.Second

// RunCtl runs siskinvalectl and returns its standard output. An exit code other
// than 0 is an error, which quotes the whole output.
func (f *Fleet) RunCtl(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ctlTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(f.binDir, ControlBinary), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	runOnStartThread(func() { err = cmd.Start() })
	if err == nil {
		err = cmd.Wait()
	}
	if err != nil {
		return stdout.String(), fmt.Errorf("%s %s: %w\n%s%s", ControlBinary, strings.Join(args, " "), err, stdout.String(), stderr.String())
	}
	return stdout.String(), nil
}

// RunCtlOnFleet runs siskinvalectl as RunCtl does, with the options that select
// this fleet's platform and its first running node.
func (f *Fleet) RunCtlOnFleet(args ...string) (string, error) {
	return f.RunCtl(append(f.ctlOptions(), args...)...)
}

// makeKeys creates the shared keys and the platform token and, if a bundle is
// configured, an author's and an approver's signing key.
func (f *Fleet) makeKeys() error {
	f.keys.fleet = sharedKey{ID: "fleet-1", Secret: newSecret()}
	f.keys.operator = sharedKey{ID: "operator-1", Secret: newSecret()}
	f.keys.platformToken = newSecret()
	f.keys.operatorSecretFile = filepath.Join(f.dir, "operator.key")
	if err := os.WriteFile(f.keys.operatorSecretFile, []byte(f.keys.operator.Secret), 0o600); err != nil {
		return err
	}
	f.keys.platformTokenFile = filepath.Join(f.dir, "platform.token")
	if err := os.WriteFile(f.keys.platformTokenFile, []byte(f.keys.platformToken), 0o600); err != nil {
		return err
	}
	if f.cfg.Bundle == "" {
		return nil
	}
	b, err := readBundle(f.BundleFile())
	if err != nil {
		return err
	}
	if f.keys.author, f.keys.authorFile, err = f.makeSigningKey("author", b.Signers.Authors[0]); err != nil {
		return err
	}
	f.keys.approver, f.keys.approverFile, err = f.makeSigningKey("approver", b.Signers.Approvers[0])
	return err
}

// makeSigningKey creates a signing key with siskinvalectl and returns the
// public key and the file of the private key.
func (f *Fleet) makeSigningKey(role, id string) (public trustedKey, privateFile string, err error) {
	out, err := f.RunCtl("keys", "new", "--id", id, "--role", role, "--out", filepath.Join(f.dir, id), "--output", "json")
	if err != nil {
		return trustedKey{}, "", err
	}
	var created struct {
		Public      string `json:"public"`
		PrivateFile string `json:"privateFile"`
	}
	if err := json.Unmarshal([]byte(out), &created); err != nil {
		return trustedKey{}, "", fmt.Errorf("decode the output of siskinvalectl keys new: %w", err)
	}
	return trustedKey{ID: id, PublicKey: created.Public}, created.PrivateFile, nil
}

// newSecret returns 32 random bytes in hexadecimal.
func newSecret() string {
	raw := make([]byte, 32)
	rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Rollout scales a bundle to this fleet, then checks, signs, approves and rolls
// it out as the given version. It does not wait until the version is in force.
func (f *Fleet) Rollout(file string, version uint64) error {
	b, err := readBundle(file)
	if err != nil {
		return err
	}
	b.Version = version
	scaleBundle(b, len(f.Nodes)*f.cfg.TargetsPerNode)
	content, err := b.Encode()
	if err != nil {
		return err
	}
	file = filepath.Join(f.dir, fmt.Sprintf("bundle-%d.yaml", version))
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	envelope := filepath.Join(f.dir, fmt.Sprintf("bundle-%d.envelope", version))
	for _, args := range [][]string{
		{"bundle", "check", file},
		{"bundle", "sign", "--key", f.keys.authorFile, "--out", envelope, file},
		{"bundle", "approve", "--key", f.keys.approverFile, "--file", file, envelope},
		append(f.ctlOptions(), "bundle", "rollout", "--no-wait", file, envelope),
	} {
		if _, err := f.RunCtl(args...); err != nil {
			return err
		}
	}
	return nil
}

// ctlOptions returns the options that select this fleet's platform and its
// first running node, if any.
func (f *Fleet) ctlOptions() []string {
	options := []string{
		"--platform", strings.TrimPrefix(f.Platform.URL, "http://"), "--platform-token-file", f.keys.platformTokenFile,
		"--operator-key-id", f.keys.operator.ID, "--operator-secret-file", f.keys.operatorSecretFile,
	}
	for _, n := range f.Nodes {
		if n.Process != nil && n.Running() {
			return append(options, "--node", n.OperatorsAddress)
		}
	}
	return options
}
