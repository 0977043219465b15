package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Names of the commands under cmd/.
const (
	NodeBinary    = "siskinvale-node"
	ControlBinary = "siskinvalectl"
	StandinBinary = "siskinvale-standin"
)

// binaries holds the directory of the commands that Build built, empty if they
// are not built.
var binaries struct {
	sync.Mutex
	dir string
}

// Root returns the root directory of the repository, which is the closest
// directory with a go.mod, starting with the working directory.
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
			return "", fmt.Errorf("no go.mod in the working directory or in any directory above it")
		}
		dir = parent
	}
}

// CommandExists reports whether the repository has a command of this name under
// cmd/.
func CommandExists(binary string) bool {
	root, err := Root()
	if err != nil {
		return false
	}
	_, err = os.Stat(filepath.Join(root, "cmd", binary))
	return err == nil
}

// Build builds all commands into a temporary directory, once per process, and
// returns that directory. RemoveBinaries removes the directory.
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

// RemoveBinaries removes the directory that Build created, if any.
func RemoveBinaries() {
	binaries.Lock()
	defer binaries.Unlock()
	if binaries.dir != "" {
		os.RemoveAll(binaries.dir)
		binaries.dir = ""
	}
}
