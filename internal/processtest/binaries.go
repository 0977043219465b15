package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Names of the binaries under cmd/.
const (
	NodeBinary    = "siskinvale-node"
	ControlBinary = "siskinvalectl"
	StandinBinary = "siskinvale-standin"
)

// binaries are built once per process.
var binaries struct {
	sync.Mutex
	dir string
}

// Root returns the root directory of the repository.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", fmt.Errorf("no go.mod above the working directory")
		}
		dir = parent
	}
}

// Exists reports whether the repository has a command of this name.
func Exists(binary string) bool {
	root, err := Root()
	if err != nil {
		return false
	}
	_, err = os.Stat(filepath.Join(root, "cmd", binary))
	return err == nil
}

// Build builds all commands into a temporary directory, once per process, and
// returns the directory. RemoveBinaries removes it.
func Build() (string, error) {
	binaries.Lock()
	defer binaries.Unlock()
	if binaries.dir != "" {
		return binaries.dir, nil
	}
	root, err := Root()
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "siskinvale-bin-")
	if err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		return "", fmt.Errorf("go build ./cmd/...: %w\n%s", err, out)
	}
	binaries.dir = dir
	return dir, nil
}

// RemoveBinaries removes what Build built.
func RemoveBinaries() {
	binaries.Lock()
	defer binaries.Unlock()
	if binaries.dir != "" {
		os.RemoveAll(binaries.dir)
		binaries.dir = ""
	}
}
