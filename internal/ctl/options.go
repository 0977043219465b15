package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"

	"siskinvale.dev/siskinvale/internal/auth"
	"siskinvale.dev/siskinvale/internal/control/v1/controlv1connect"
)

// globalOptions are accepted by every command.
type globalOptions struct {
	Node           string        `long:"node" env:"SISKINVALE_NODE" value-name:"IP:PORT" description:"operators' address of any node"`
	OperatorKeyID  string        `long:"operator-key-id" env:"SISKINVALE_OPERATOR_KEY_ID" description:"identifier of the operator key"`
	OperatorSecret string        `long:"operator-secret-file" env:"SISKINVALE_OPERATOR_SECRET_FILE" value-name:"FILE" description:"file that holds the operator key's secret"`
	Platform       string        `long:"platform" env:"SISKINVALE_PLATFORM" value-name:"IP:PORT" description:"address of the platform's object API"`
	PlatformToken  string        `long:"platform-token-file" env:"SISKINVALE_PLATFORM_TOKEN_FILE" value-name:"FILE" description:"file that holds the platform token"`
	Output         string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the result"`
	CallTimeout    time.Duration `long:"call-timeout" default:"5s" description:"longest wait for one answer of a node or the platform"`
	Keyring        string        `long:"keyring" env:"SISKINVALE_KEYRING" value-name:"FILE" description:"YAML file with the maps authors and approvers from key identifier to public key; signatures are checked against it"`
	Version        func() error  `long:"version" description:"print the version and exit"`
}

// command is a command or a group of commands. data receives its options.
type command struct {
	name, short string
	data        any
}

// registerCommands declares the global options and all commands.
func (a *app) registerCommands(p *flags.Parser) error {
	if _, err := p.AddGroup("Global Options", "", &a.options); err != nil {
		return err
	}
	if err := addGroup(p.Command, command{"keys", "manage signing keys", nil}, []command{
		{"new", "create the key of an author or approver", &keysNew{app: a}},
	}); err != nil {
		return err
	}
	if err := addGroup(p.Command, command{"bundle", "check, sign and roll out bundles", nil}, []command{
		{"check", "report all findings of bundle files", &bundleCheck{app: a}},
		{"review", "report entries without effect, contradictions and changes for callers", &bundleReview{app: a}},
		{"sign", "sign a bundle as its author", &bundleSign{app: a}},
		{"approve", "add the approver's signature", &bundleApprove{app: a}},
		{"rollout", "put a signed bundle in force", &bundleRollout{app: a}},
		{"rollback", "write an old bundle as a new version", &bundleRollback{app: a}},
		{"status", "show which nodes have the version in force", &bundleStatus{app: a}},
		{"diff", "show the differences between two bundle files", &bundleDiff{app: a}},
	}); err != nil {
		return err
	}
	if err := addGroup(p.Command, command{"node", "show and drain nodes", nil}, []command{
		{"status", "show a node and the nodes it knows", &nodeStatus{app: a}},
		{"drain", "refuse new work at the targets beside a node, or at one of them", &nodeDrain{app: a}},
		{"undrain", "accept new work again", &nodeUndrain{app: a}},
		{"log-level", "change the log level until the next reload or restart", &nodeLogLevel{app: a}},
	}); err != nil {
		return err
	}
	if err := addGroup(p.Command, command{"operations", "recover key ranges of at-most-once operations", nil}, []command{
		{"release", "release key ranges whose owner and standby are lost", &operationsRelease{app: a}},
	}); err != nil {
		return err
	}
	for _, c := range []command{
		{"targets", "show targets and their health", &targets{app: a}},
		{"explain", "show how a request would be handled", &explain{app: a}},
	} {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

func addGroup(parent *flags.Command, group command, commands []command) error {
	g, err := parent.AddCommand(group.name, group.short, "", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range commands {
		if _, err := g.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

// readFile reads a file named on the command line; failures are usage errors.
func readFile(name string) ([]byte, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, usageErrorf("%w", err)
	}
	return content, nil
}

// writeFile writes or replaces a file named on the command line; failures are
// usage errors.
func writeFile(name string, content []byte) error {
	if err := os.WriteFile(name, content, 0o644); err != nil {
		return usageErrorf("%w", err)
	}
	return nil
}

// readSecret reads a secret from a file and removes line ends after it.
func readSecret(name string) (string, error) {
	content, err := readFile(name)
	return string(bytes.TrimRight(content, "\r\n")), err
}

// store returns a client for the platform that the options name.
func (a *app) store() (Store, error) {
	if a.options.Platform == "" {
		return nil, usageErrorf("--platform is needed")
	}
	var token string
	if a.options.PlatformToken != "" {
		var err error
		if token, err = readSecret(a.options.PlatformToken); err != nil {
			return nil, err
		}
	}
	store, err := a.OpenStore(a.options.Platform, token)
	if err != nil {
		return nil, unreachableErrorf("connect to the platform: %w", err)
	}
	return store, nil
}

// client returns a client for the node that the options name. It signs each
// call with the operator key.
func (a *app) client() (controlv1connect.OperatorServiceClient, error) {
	if a.clientOverride != nil {
		return a.clientOverride, nil
	}
	if a.options.Node == "" {
		return nil, usageErrorf("--node is needed")
	}
	if a.options.OperatorKeyID == "" || a.options.OperatorSecret == "" {
		return nil, usageErrorf("--operator-key-id and --operator-secret-file are needed")
	}
	secret, err := readSecret(a.options.OperatorSecret)
	if err != nil {
		return nil, err
	}
	keys, err := auth.NewKeys(auth.AudienceOperator, []auth.Key{{ID: a.options.OperatorKeyID, Secret: auth.Secret(secret)}})
	if err != nil {
		return nil, usageErrorf("operator key: %w", err)
	}
	sign := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if err := keys.Sign(req.Header(), a.options.OperatorKeyID, a.Now()); err != nil {
				return nil, err
			}
			return next(ctx, req)
		}
	})
	return controlv1connect.NewOperatorServiceClient(a.HTTP, "http://"+a.options.Node, connect.WithInterceptors(sign)), nil
}

// callNode makes one call to a node within the call timeout.
func callNode[Request, Response any](a *app, call func(context.Context, *Request) (*Response, error), request *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(a.Context, a.options.CallTimeout)
	defer cancel()
	response, err := call(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", a.options.Node, err)
	}
	return response, nil
}
