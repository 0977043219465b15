// Command measure runs the benchmarks of the repository once and writes their
// results, compared with the bounds of the design page, to
// docs/MEASUREMENTS.md.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
)

type options struct {
	Packages []string `long:"packages" default:"./..." description:"packages whose benchmarks are run (may be repeated); the tables of other packages stay as they are"`
	Output   string   `long:"output" default:"docs/MEASUREMENTS.md" description:"file to write"`
}

const (
	exitFailed = 1
	exitUsage  = 2
)

// testRuns holds the arguments of the go test runs. Scenario benchmarks run
// their scenario once; benchmarks of single function calls need many iterations
// to give a stable result.
var testRuns = [][]string{
	{"-bench", ".", "-skip", microBenchmarks, "-benchtime", "1x"},
	{"-bench", microBenchmarks, "-benchtime", "20000x", "-benchmem"},
}

const microBenchmarks = "^Benchmark(Pick|MonitorTick|Locate|Table|Tick|Match|Budget|Update|Split)"

func main() { os.Exit(run()) }

func run() int {
	var opts options
	if _, err := flags.NewParser(&opts, flags.Default).Parse(); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	log := logrus.New()
	var results []result
	var runErr error
	for _, args := range testRuns {
		// -p 1 tests one package at a time, so that benchmarks of different
		// packages do not compete for the processor.
		args = append(append([]string{"test", "-run", "^$", "-p", "1", "-count", "1", "-timeout", "30m"}, args...), opts.Packages...)
		log.WithField("command", "go "+strings.Join(args, " ")).Info("running benchmarks")
		cmd := exec.Command("go", args...)
		var out bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, os.Stderr
		err := cmd.Run()
		parsed := parse(out.String(), runtime.GOMAXPROCS(0))
		for i := range parsed {
			parsed[i].benchtime = benchtime(args)
		}
		results = append(results, parsed...)
		if err != nil {
			runErr = errors.Join(runErr, err)
			log.WithError(err).Errorf("some benchmarks failed:\n%s", out.String())
		}
	}
	previous, err := os.ReadFile(opts.Output)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		log.WithError(err).Error("cannot read the previous measurements")
		return exitFailed
	}
	content := merge(string(previous), machineText(), tables(results, time.Now()))
	if err := os.WriteFile(opts.Output, []byte(content), 0o644); err != nil {
		log.WithError(err).Error("cannot write the measurements")
		return exitFailed
	}
	log.WithField("results", len(results)).Info("wrote " + opts.Output)
	if runErr != nil {
		return exitFailed
	}
	return 0
}

func benchtime(args []string) string {
	for i, a := range args {
		if a == "-benchtime" {
			return args[i+1]
		}
	}
	return ""
}

// machineText describes the environment of the measurements, without a host
// name.
func machineText() string {
	return fmt.Sprintf("Measured with %s on %s/%s with %d cores. All processes run on one machine and use loopback.\n",
		runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
}
