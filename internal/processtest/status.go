package processtest

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"siskinvale.dev/siskinvale/internal/auth"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/control/v1/controlv1connect"
	"siskinvale.dev/siskinvale/internal/operation"
	"siskinvale.dev/siskinvale/internal/platform"
)

// statusTimeout is the timeout of a status call to a node and of a read from
// the platform.
const statusTimeout = 2 * time.Second

// Status returns the status of a node, requested with the operator key.
func (f *Fleet) Status(n *Node) (*controlv1.StatusResponse, error) {
	keys, err := auth.NewKeys(auth.AudienceOperator, []auth.Key{{ID: f.keys.operator.ID, Secret: auth.Secret(f.keys.operator.Secret)}})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	client := controlv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+n.OperatorsAddress)
	ctx, call := connect.NewClientContext(ctx)
	if err := keys.Sign(call.RequestHeader(), "processtest", time.Now()); err != nil {
		return nil, err
	}
	return client.Status(ctx, &controlv1.StatusRequest{})
}

// Assignment reads the assignment of a service's key ranges to their owners
// from the platform.
func (f *Fleet) Assignment(service string) (operation.Assignment, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	client := platform.NewHTTP(f.Platform.URL, f.keys.platformToken, platform.DefaultBudget())
	object, err := client.Get(ctx, operation.ObjectKey(service))
	if err != nil {
		return operation.Assignment{}, err
	}
	return operation.DecodeAssignment(object.Value)
}

// BundleVersions returns the bundle version in force on each running node, by
// node ID. The version of a node that does not answer is 0.
func (f *Fleet) BundleVersions() map[string]uint64 {
	versions := map[string]uint64{}
	for _, n := range f.Nodes {
		if !n.Running() {
			continue
		}
		versions[n.ID] = 0
		if status, err := f.Status(n); err == nil {
			versions[n.ID] = status.BundleVersion
		}
	}
	return versions
}
