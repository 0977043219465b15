package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"siskinvale.dev/siskinvale/internal/announce"
	controlv1 "siskinvale.dev/siskinvale/internal/control/v1"
	"siskinvale.dev/siskinvale/internal/control/v1/controlv1connect"
	"siskinvale.dev/siskinvale/internal/fleet"
	"siskinvale.dev/siskinvale/internal/membership"
)

// errUnknownPeer means that membership does not know the node.
var errUnknownPeer = errors.New("unknown peer")

// maxPiecesBytes bounds the pieces in one answer.
const maxPiecesBytes = 1 << 20

// peerCalls makes control calls to other nodes.
type peerCalls struct {
	node *Node
	// clients holds one client for each address: building one for each of the
	// two renewals per second and standby was 3% of an idle node's time.
	clients sync.Map // peerKey -> controlv1connect.PeerServiceClient
}

type peerKey struct {
	id          fleet.NodeID
	addr        string
	incarnation uint64
}

// clientOf returns a client for a node that the current view knows.
func (p *peerCalls) clientOf(id fleet.NodeID) (controlv1connect.PeerServiceClient, error) {
	n, ok := p.node.ingress.View().Nodes[id]
	if !ok || n.State == fleet.NodeDead {
		return nil, fmt.Errorf("%w: %s", errUnknownPeer, id)
	}
	return p.clientAt(n), nil
}

func (p *peerCalls) clientAt(n fleet.Node) controlv1connect.PeerServiceClient {
	key := peerKey{n.ID, n.PeerAddr, n.Incarnation}
	if client, ok := p.clients.Load(key); ok {
		return client.(controlv1connect.PeerServiceClient)
	}
	transport := &signingTransport{node: p.node, next: p.node.pool.Client(n, fleet.Short)}
	client, _ := p.clients.LoadOrStore(key, controlv1connect.NewPeerServiceClient(
		transport, "http://"+n.PeerAddr, connect.WithReadMaxBytes(maxControlMessage)))
	return client.(controlv1connect.PeerServiceClient)
}

// forget drops the clients of all processes of a node.
func (p *peerCalls) forget(id fleet.NodeID) {
	p.clients.Range(func(key, _ any) bool {
		if key.(peerKey).id == id {
			p.clients.Delete(key)
		}
		return true
	})
}

// RenewLease implements operation.Peers.
func (p *peerCalls) RenewLease(ctx context.Context, to fleet.NodeID, req *controlv1.RenewLeaseRequest) (*controlv1.RenewLeaseResponse, error) {
	client, err := p.clientOf(to)
	if err != nil {
		return nil, err
	}
	return client.RenewLease(ctx, req)
}

// HandOver implements operation.Peers.
func (p *peerCalls) HandOver(ctx context.Context, to fleet.NodeID, req *controlv1.HandOverRequest) (*controlv1.HandOverResponse, error) {
	client, err := p.clientOf(to)
	if err != nil {
		return nil, err
	}
	return client.HandOver(ctx, req)
}

// signingTransport adds the node's token to each request.
type signingTransport struct {
	node *Node
	next *http.Client
}

// Do implements connect.HTTPClient.
func (t *signingTransport) Do(req *http.Request) (*http.Response, error) {
	if err := t.node.peerKeys.Sign(req.Header, string(t.node.self.ID), time.Now()); err != nil {
		return nil, err
	}
	return t.next.Do(req)
}

// peerService answers control calls of other nodes.
type peerService struct {
	node *Node
}

// Sync merges the caller's state and returns this node's.
func (s *peerService) Sync(_ context.Context, req *controlv1.SyncRequest) (*controlv1.SyncResponse, error) {
	resp := &controlv1.SyncResponse{}
	c := s.node.control
	c.do(func() {
		c.merge(req.GetNodes(), req.GetTargets())
		resp.Nodes, resp.Targets = c.members.State(), c.targetRecords()
	})
	return resp, nil
}

// FetchEnvelope returns the envelope in force, empty if there is none.
func (s *peerService) FetchEnvelope(context.Context, *controlv1.FetchEnvelopeRequest) (*controlv1.FetchEnvelopeResponse, error) {
	resp := &controlv1.FetchEnvelopeResponse{}
	if content := s.node.control.content.Load(); content != nil {
		resp.Envelope = content.Envelope
	}
	return resp, nil
}

// FetchPieces returns the requested pieces of the bundle in force and of those
// that it replaced lately, as many as fit one message.
func (s *peerService) FetchPieces(_ context.Context, req *controlv1.FetchPiecesRequest) (*controlv1.FetchPiecesResponse, error) {
	resp := &controlv1.FetchPiecesResponse{Pieces: make(map[string][]byte)}
	content := s.node.control.content.Load()
	if content == nil {
		return resp, nil
	}
	size := 0
	for _, name := range req.GetNames() {
		piece, ok := content.Piece(name)
		if !ok || size+len(piece) > maxPiecesBytes {
			continue
		}
		resp.Pieces[name] = piece
		size += len(piece)
	}
	return resp, nil
}

// RenewLease is answered by the standby side of this node.
func (s *peerService) RenewLease(ctx context.Context, req *controlv1.RenewLeaseRequest) (*controlv1.RenewLeaseResponse, error) {
	return s.node.operations.ServeRenewLease(ctx, req)
}

// HandOver takes operation records from an owner.
func (s *peerService) HandOver(ctx context.Context, req *controlv1.HandOverRequest) (*controlv1.HandOverResponse, error) {
	return s.node.operations.ServeHandOver(ctx, req)
}

// FetchAssignments returns the assignments that are newer than the caller's.
func (s *peerService) FetchAssignments(_ context.Context, req *controlv1.FetchAssignmentsRequest) (*controlv1.FetchAssignmentsResponse, error) {
	resp := &controlv1.FetchAssignmentsResponse{}
	for service, version := range req.GetKnown() {
		view, ok := s.node.operations.View(service)
		if !ok || view.Version <= version {
			continue
		}
		value, err := view.Assignment.Encode()
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		resp.Assignments = append(resp.Assignments, &controlv1.Assignment{Service: service, Version: view.Version, Value: value})
	}
	return resp, nil
}

func announceRemote(t *controlv1.Target) announce.Event {
	return announce.RemoteUpdate{Target: membership.TargetFromProto(t)}
}
