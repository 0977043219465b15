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

// ctlTimeout bounds one run of siskinvalectl.
const ctlTimeout = 30 * time.Second

// Ctl runs siskinvalectl and returns its standard output.
func (f *Fleet) Ctl(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ctlTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(f.bin, ControlBinary), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	onStartThread(func() { err = cmd.Start() })
	if err == nil {
		err = cmd.Wait()
	}
	if err != nil {
		return stdout.String(), fmt.Errorf("%s %s: %w\n%s%s", ControlBinary, strings.Join(args, " "), err, stdout.String(), stderr.String())
	}
	return stdout.String(), nil
}

// Operate runs siskinvalectl with the options that address this fleet's
// platform and its first running node.
func (f *Fleet) Operate(args ...string) (string, error) {
	return f.Ctl(append(f.ctlTarget(), args...)...)
}

// makeKeys makes the shared keys, and the signing keys with siskinvalectl.
func (f *Fleet) makeKeys() error {
	f.keys.fleet = sharedKey{ID: "fleet-1", Secret: secret()}
	f.keys.operator = sharedKey{ID: "operator-1", Secret: secret()}
	f.keys.platformToken = secret()
	f.keys.operatorKeyToFile = filepath.Join(f.dir, "operator.key")
	if err := os.WriteFile(f.keys.operatorKeyToFile, []byte(f.keys.operator.Secret), 0o600); err != nil {
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
	if f.keys.author, f.keys.authorFile, err = f.makeKey("author", b.Signers.Authors[0]); err != nil {
		return err
	}
	f.keys.approver, f.keys.approverFile, err = f.makeKey("approver", b.Signers.Approvers[0])
	return err
}

// makeKey makes a signing key and returns its public part and the file of its
// private part.
func (f *Fleet) makeKey(role, id string) (public trustedKey, privateFile string, err error) {
	out, err := f.Ctl("keys", "new", "--id", id, "--role", role, "--out", filepath.Join(f.dir, id), "--output", "json")
	if err != nil {
		return trustedKey{}, "", err
	}
	var made struct {
		Public      string `json:"public"`
		PrivateFile string `json:"privateFile"`
	}
	if err := json.Unmarshal([]byte(out), &made); err != nil {
		return trustedKey{}, "", fmt.Errorf("output of keys new: %w", err)
	}
	return trustedKey{ID: id, PublicKey: made.Public}, made.PrivateFile, nil
}

func secret() string {
	raw := make([]byte, 32)
	rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Rollout checks, signs, approves and rolls out a bundle file as the given
// version, scaled to this fleet.
func (f *Fleet) Rollout(file string, version uint64) error {
	b, err := readBundle(file)
	if err != nil {
		return err
	}
	b.Version = version
	scale(b, len(f.Nodes)*f.cfg.TargetsPerNode)
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
		append(f.ctlTarget(), "bundle", "rollout", "--no-wait", file, envelope),
	} {
		if _, err := f.Ctl(args...); err != nil {
			return err
		}
	}
	return nil
}

// ctlTarget returns the options that address this fleet's platform and a
// running node.
func (f *Fleet) ctlTarget() []string {
	options := []string{
		"--platform", strings.TrimPrefix(f.Platform.URL, "http://"), "--platform-token-file", f.keys.platformTokenFile,
		"--operator-key-id", f.keys.operator.ID, "--operator-secret-file", f.keys.operatorKeyToFile,
	}
	for _, n := range f.Nodes {
		if n.Process != nil && n.Running() {
			return append(options, "--node", n.Operators)
		}
	}
	return options
}
