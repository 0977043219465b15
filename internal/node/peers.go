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

// errUnknownPeer reports a node that is not in the current view or is dead.
var errUnknownPeer = errors.New("unknown peer")

// maxPiecesBytes bounds the total size of the pieces in one FetchPieces
// response.
const maxPiecesBytes = 1 << 20

// peerCalls makes control calls to other nodes.
type peerCalls struct {
	node *Node
	// clients caches one client for each process of a peer, or for each address
	// whose process is not known yet. A lease owner makes two renewals per
	// second and standby; building a client for each of them took 3% of an idle
	// node's CPU time.
	clients sync.Map // peerKey -> controlv1connect.PeerServiceClient
}

type peerKey struct {
	id          fleet.NodeID
	addr        string
	incarnation uint64
}

// clientByID returns a client for the node with the given ID. The error wraps
// errUnknownPeer if the node is not in the current view or is dead.
func (p *peerCalls) clientByID(id fleet.NodeID) (controlv1connect.PeerServiceClient, error) {
	n, ok := p.node.ingress.View().Nodes[id]
	if !ok || n.State == fleet.NodeDead {
		return nil, fmt.Errorf("%w: %s", errUnknownPeer, id)
	}
	return p.clientForNode(n), nil
}

// clientForNode returns the cached client for a node, or creates it.
func (p *peerCalls) clientForNode(n fleet.Node) controlv1connect.PeerServiceClient {
	key := peerKey{n.ID, n.PeerAddr, n.Incarnation}
	if client, ok := p.clients.Load(key); ok {
		return client.(controlv1connect.PeerServiceClient)
	}
	transport := &signingTransport{node: p.node, next: p.node.pool.Client(n, fleet.Short)}
	client, _ := p.clients.LoadOrStore(key, controlv1connect.NewPeerServiceClient(
		transport, "http://"+n.PeerAddr, connect.WithReadMaxBytes(maxControlMessage)))
	return client.(controlv1connect.PeerServiceClient)
}

// dropClients removes the clients of all incarnations of a node.
func (p *peerCalls) dropClients(id fleet.NodeID) {
	p.clients.Range(func(key, _ any) bool {
		if key.(peerKey).id == id {
			p.clients.Delete(key)
		}
		return true
	})
}

// RenewLease implements operation.Peers.
func (p *peerCalls) RenewLease(ctx context.Context, to fleet.NodeID, req *controlv1.RenewLeaseRequest) (*controlv1.RenewLeaseResponse, error) {
	client, err := p.clientByID(to)
	if err != nil {
		return nil, err
	}
	return client.RenewLease(ctx, req)
}

// HandOver implements operation.Peers.
func (p *peerCalls) HandOver(ctx context.Context, to fleet.NodeID, req *controlv1.HandOverRequest) (*controlv1.HandOverResponse, error) {
	client, err := p.clientByID(to)
	if err != nil {
		return nil, err
	}
	return client.HandOver(ctx, req)
}

// signingTransport adds this node's token to each request.
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

// peerService implements the control API that other nodes call.
type peerService struct {
	node *Node
}

// Sync merges the caller's membership and target records and returns this
// node's records.
func (s *peerService) Sync(_ context.Context, req *controlv1.SyncRequest) (*controlv1.SyncResponse, error) {
	resp := &controlv1.SyncResponse{}
	c := s.node.control
	c.runAndWait(func() {
		c.merge(req.GetNodes(), req.GetTargets())
		c.node.lineage.learn(req.GetFormerBundles())
		resp.Nodes, resp.Targets, resp.FormerBundles = c.members.Records(), c.targetRecords(), c.node.lineage.former()
	})
	return resp, nil
}

// FetchEnvelope returns the envelope of the bundle in force, or an empty
// response if there is none.
func (s *peerService) FetchEnvelope(context.Context, *controlv1.FetchEnvelopeRequest) (*controlv1.FetchEnvelopeResponse, error) {
	resp := &controlv1.FetchEnvelopeResponse{}
	if content := s.node.control.content.Load(); content != nil {
		resp.Envelope = content.Envelope
	}
	return resp, nil
}

// FetchPieces returns the requested pieces of the bundle in force and of the
// bundles that it recently replaced. It leaves out pieces that would exceed
// maxPiecesBytes.
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

// RenewLease renews the lease of an owner for which this node is the standby.
func (s *peerService) RenewLease(ctx context.Context, req *controlv1.RenewLeaseRequest) (*controlv1.RenewLeaseResponse, error) {
	return s.node.operations.ServeRenewLease(ctx, req)
}

// HandOver receives operation records from an owner.
func (s *peerService) HandOver(ctx context.Context, req *controlv1.HandOverRequest) (*controlv1.HandOverResponse, error) {
	return s.node.operations.ServeHandOver(ctx, req)
}

// FetchAssignments returns the assignments that are newer than the versions in
// the request.
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

func remoteTargetUpdate(t *controlv1.Target) announce.Event {
	return announce.RemoteUpdate{Target: membership.TargetFromProto(t)}
}
