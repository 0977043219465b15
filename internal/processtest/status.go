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

// statusTimeout bounds one status call.
const statusTimeout = 2 * time.Second

// Status asks a node for its status as an operator.
func (f *Fleet) Status(n *Node) (*controlv1.StatusResponse, error) {
	keys, err := auth.NewKeys(auth.AudienceOperator, []auth.Key{{ID: f.keys.operator.ID, Secret: auth.Secret(f.keys.operator.Secret)}})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	client := controlv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+n.Operators)
	ctx, call := connect.NewClientContext(ctx)
	if err := keys.Sign(call.RequestHeader(), "processtest", time.Now()); err != nil {
		return nil, err
	}
	return client.Status(ctx, &controlv1.StatusRequest{})
}

// Assignment reads the owners of a service's key ranges from the platform.
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

// InForce returns the bundle version in force on each running node, 0 for one
// that does not answer.
func (f *Fleet) InForce() map[string]uint64 {
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
