package node

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"siskinvale.dev/siskinvale/internal/announce"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/ingress"
	"siskinvale.dev/siskinvale/internal/membership"
)

// operatorService implements the operator API that siskinvalectl calls.
type operatorService struct {
	node *Node
}

// Status returns the node's own state and its view of the fleet.
func (s *operatorService) Status(context.Context, *controlv1.StatusRequest) (*controlv1.StatusResponse, error) {
	st := s.node.control.readStatus()
	resp := &controlv1.StatusResponse{
		Self:          membership.NodeToProto(st.self),
		BundleVersion: s.node.control.version.Load(), BundleDigest: st.bundleDigest, BundleName: st.bundleName,
		PlatformReachable: st.platformReachable,
		Draining:          s.node.leaving.Load(),
		InFlight:          s.node.ingress.InFlight() + s.node.sidecar.InFlight(),
		LogLevel:          s.node.log.Level().String(),
	}
	for _, n := range st.nodes {
		resp.Nodes = append(resp.Nodes, membership.NodeToProto(n))
	}
	return resp, nil
}

// ListTargets returns the known targets with this node's health verdicts.
func (s *operatorService) ListTargets(_ context.Context, req *controlv1.ListTargetsRequest) (*controlv1.ListTargetsResponse, error) {
	st := s.node.control.readStatus()
	resp := &controlv1.ListTargetsResponse{}
	for _, t := range st.targets {
		if req.GetService() != "" && req.GetService() != t.Service {
			continue
		}
		verdict := st.verdicts[t.ID]
		line := &controlv1.TargetStatus{
			Target: membership.TargetToProto(t), Verdict: verdict.State.String(), Reason: verdict.Reason, Share: verdict.Share,
		}
		if load, ok := s.node.sidecar.Load(t.ID); ok {
			line.InFlight, line.Queued = int32(load.InFlight), int32(load.Queued)
		}
		resp.Targets = append(resp.Targets, line)
	}
	return resp, nil
}

// Drain stops new traffic to one local target, or to all of them if the request
// names none.
func (s *operatorService) Drain(_ context.Context, req *controlv1.DrainRequest) (*controlv1.DrainResponse, error) {
	err := s.stepLocalTargets(req.GetTarget(), func(id fleet.TargetID) announce.Event { return announce.LocalDraining{ID: id} })
	return &controlv1.DrainResponse{}, err
}

// Undrain returns one local target to traffic, or all of them if the request
// names none.
func (s *operatorService) Undrain(_ context.Context, req *controlv1.UndrainRequest) (*controlv1.UndrainResponse, error) {
	err := s.stepLocalTargets(req.GetTarget(), func(id fleet.TargetID) announce.Event { return announce.LocalServing{ID: id} })
	return &controlv1.UndrainResponse{}, err
}

// stepLocalTargets applies an event to the named target, or to all local
// targets if target is empty. It returns the first rejection as a NotFound
// error.
func (s *operatorService) stepLocalTargets(target string, ev func(fleet.TargetID) announce.Event) error {
	c := s.node.control
	var err error
	c.runAndWait(func() {
		if target != "" {
			if err = c.stepTargets(ev(fleet.TargetID(target))); err != nil {
				err = fmt.Errorf("target %q: %w", target, err)
			}
			return
		}
		for _, t := range c.targets.Local() {
			if failed := c.stepTargets(ev(t.ID)); failed != nil && err == nil {
				err = failed
			}
		}
	})
	if err != nil {
		return connect.NewError(connect.CodeNotFound, err)
	}
	return nil
}

// Explain describes which class, limits and targets a request would get.
func (s *operatorService) Explain(_ context.Context, req *controlv1.ExplainRequest) (*controlv1.ExplainResponse, error) {
	view := s.node.ingress.View()
	if view.Bundle == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("no bundle is in force on this node"))
	}
	path, err := url.ParseRequestURI(req.GetPath())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	resp := &controlv1.ExplainResponse{Service: req.GetService(), BundleVersion: s.node.control.version.Load()}
	service, class, ok := view.Bundle.Match(req.GetService(), req.GetMethod(), path.EscapedPath())
	if !ok {
		resp.Lines = []string{"no service and route match this request: answered 404, not-run"}
		return resp, nil
	}
	resp.Service, resp.Class = service.Name, class.Name
	limit := view.Bundle.Limit(req.GetTenant())
	resp.Lines = append(resp.Lines,
		fmt.Sprintf("class %s: idempotent=%t key=%s priority=%s length=%s deadline=%s attempts=%d",
			class.Name, class.Idempotent, class.IdempotencyKey, class.Priority, class.Length, class.Deadline, class.Attempts),
		fmt.Sprintf("tenant %q: %g requests/s on this node, burst %g, weight %d",
			req.GetTenant(), limit.RequestsPerSecond, limit.Burst, limit.Weight))
	resp.Lines = append(resp.Lines, s.node.quotas.describe(req.GetTenant(), view.Bundle.Quota(req.GetTenant()))...)
	if key := req.GetIdempotencyKey(); key != "" && !class.Idempotent {
		resp.Lines = append(resp.Lines, s.explainOwner(service.Name, req.GetTenant(), key))
		return resp, nil
	}
	if picker, ok := view.Pickers[service.Name]; ok {
		for _, line := range picker.Explain(time.Now()) {
			resp.Lines = append(resp.Lines, fmt.Sprintf("target %s on %s (%s): %s, cost %v %s",
				line.Target, line.Node, line.DataCentre, line.Reason, line.Cost, line.Detail))
		}
	} else {
		resp.Lines = append(resp.Lines, "the service has no targets: answered 503, not-run")
	}
	return resp, nil
}

func (s *operatorService) explainOwner(service, tenant, key string) string {
	owner, epoch, ok := s.node.assignments.Locate(service, tenant, key)
	if !ok {
		s.node.assignments.Refresh(service, 0)
		return "key: no owner is known on this node yet"
	}
	return fmt.Sprintf("key: owned by node %s in epoch %d", owner, epoch)
}

// SetLogLevel changes the log level until the next reload or restart.
func (s *operatorService) SetLogLevel(_ context.Context, req *controlv1.SetLogLevelRequest) (*controlv1.SetLogLevelResponse, error) {
	level, err := logrus.ParseLevel(req.GetLevel())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	previous := s.node.log.Level().String()
	s.node.log.SetLevel(level)
	return &controlv1.SetLogLevelResponse{Previous: previous}, nil
}

// ReleaseOperations gives up key ranges whose owner and standby are lost. Only
// nodes with a target of the service take part in its ranges. On any other node
// a release would have no effect, so the call is refused there.
func (s *operatorService) ReleaseOperations(_ context.Context, req *controlv1.ReleaseOperationsRequest) (*controlv1.ReleaseOperationsResponse, error) {
	name := req.GetService()
	if name == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("the service is missing"))
	}
	view := s.node.ingress.View()
	if view.Bundle == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("no bundle is in force on this node"))
	}
	service := view.Bundle.Service(name)
	if service == nil {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("the bundle in force has no service %q", name))
	}
	if !slices.ContainsFunc(service.Classes, ingress.IsKeyedOperation) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("service %q has no class with keyed operations", name))
	}
	if !s.hasLocalTarget(name) {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("this node has no target of service %q; call a node that has one", name))
	}
	s.node.operations.ReleaseUnowned(name)
	return &controlv1.ReleaseOperationsResponse{}, nil
}

// hasLocalTarget reports whether this node has a target of the service.
func (s *operatorService) hasLocalTarget(service string) bool {
	return slices.ContainsFunc(s.node.control.readStatus().targets, func(t fleet.Target) bool {
		return t.Service == service && t.Node == s.node.self.ID
	})
}
