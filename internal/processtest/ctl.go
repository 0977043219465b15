package processtest

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
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

// makeKeys makes the shared keys, and the signing keys with siskinvalectl.
func (f *Fleet) makeKeys() error {
	f.keys.fleet = sharedKey{ID: "fleet-1", Secret: secret()}
	f.keys.operator = sharedKey{ID: "operator-1", Secret: secret()}
	f.keys.platformToken = secret()
	f.keys.operatorKeyToFile = filepath.Join(f.dir, "operator.key")
	if err := os.WriteFile(f.keys.operatorKeyToFile, []byte(f.keys.operator.Secret), 0o600); err != nil {
		return err
	}
	if f.cfg.Bundle == "" {
		return nil
	}
	for _, k := range []struct {
		id   string
		file *string
		key  *trustedKey
	}{{"author-1", &f.keys.authorFile, &f.keys.author}, {"approver-1", &f.keys.approverFile, &f.keys.approver}} {
		*k.file = filepath.Join(f.dir, k.id+".key")
		public, err := f.Ctl("keys", "new", "--id", k.id, "--out", *k.file)
		if err != nil {
			return err
		}
		*k.key = trustedKey{ID: k.id, PublicKey: strings.TrimSpace(public)}
	}
	return nil
}

func secret() string {
	raw := make([]byte, 32)
	rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Rollout checks, signs, approves and rolls out a bundle file.
func (f *Fleet) Rollout(file string, version uint64) error {
	envelope := filepath.Join(f.dir, fmt.Sprintf("bundle-%d.envelope", version))
	for _, args := range [][]string{
		{"bundle", "check", file},
		{"bundle", "sign", "--key", f.keys.authorFile, "--version", fmt.Sprint(version), "--out", envelope, file},
		{"bundle", "approve", "--key", f.keys.approverFile, envelope},
		{"bundle", "rollout", "--platform", f.Platform.URL, "--token", f.keys.platformToken, "--envelope", envelope, file},
	} {
		if _, err := f.Ctl(args...); err != nil {
			return err
		}
	}
	return nil
}
