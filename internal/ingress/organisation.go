package ingress

import (
	"context"
	"net/http"
	"time"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/event"
)

// KeyLease bounds how long a node may rely on the API keys of its bundle
// without knowing whether the bundle is still the newest.
type KeyLease struct {
	// MaxAge is the longest time since the bundle in force was known to be the
	// newest in which keyed requests start. Zero means that there is no bound.
	MaxAge time.Duration
	// Age returns how long ago the bundle with the given ordered version, or an
	// older one, was known to be the newest. ok is false if it is not known. The
	// time includes that in which the VM was suspended.
	Age func(version uint64) (age time.Duration, ok bool)
}

// maxUnknownKeyAge is the longest time since the bundle in force was known to
// be the newest in which an unknown key is rejected for good. Callers do not
// repeat a request after 401, so a node that may lack the newest keys answers
// that the request did not run.
const maxUnknownKeyAge = 2500 * time.Millisecond

// staleKeysRetryAfter is the Retry-After of requests that a node cannot
// authorise at present.
const staleKeysRetryAfter = 500 * time.Millisecond

// Quotas grants requests within the quotas of organisations, which all nodes
// share. It is safe for concurrent use.
type Quotas interface {
	// Take takes one request from the organisation's quota. It returns when the
	// request is granted or rejected, at the latest when ctx ends.
	Take(ctx context.Context, organisation string, quota bundle.Quota) QuotaDecision
	// Return gives back a request that was granted by the decision and did not
	// run.
	Return(organisation string, decision QuotaDecision)
}

// QuotaDecision is the result of Quotas.Take.
type QuotaDecision struct {
	Granted bool
	// Unknown is set if the request was not granted because the node could not
	// learn in time whether the quota allows it.
	Unknown bool
	// RetryAfter is the time after which the quota is expected to allow the
	// request.
	RetryAfter time.Duration
	// Expires is the boot time until which a granted request may be given back,
	// 0 if it may not.
	Expires time.Duration
}

// identify sets the request's organisation from its API key. The problem is nil
// if the request may run.
func (in *Ingress) identify(req *request) *problem {
	b := req.view.Bundle
	if !b.Tenants.RequireKeys {
		return nil
	}
	req.tenant = ""
	organisation := b.Organisation(req.apiKey)
	age, known := in.keyAge(req.view.Version)
	if limit := in.cfg.KeyLease.MaxAge; limit > 0 && (!known || age > limit) {
		if req.class.Public {
			return nil
		}
		in.cfg.Metrics.Counter("siskinvale_stale_keys_total").Inc()
		p := req.problemBeforeAttempt(http.StatusServiceUnavailable, "the node does not know whether its API keys are still valid")
		p.retryAfter = staleKeysRetryAfter
		return p
	}
	switch {
	case organisation != nil:
		req.tenant, req.organisation = organisation.Name, organisation
		return nil
	case req.class.Public:
		return nil
	case req.apiKey != "" && (!known || age > maxUnknownKeyAge):
		p := req.problemBeforeAttempt(http.StatusServiceUnavailable, "the API key is not known to this node, which may lack the newest keys")
		p.retryAfter = staleKeysRetryAfter
		return p
	default:
		in.cfg.Metrics.Counter("siskinvale_unknown_keys_total").Inc()
		return req.problemBeforeAttempt(http.StatusUnauthorized, "the request has no valid API key")
	}
}

// keyAge returns how long ago the bundle with the given ordered version was
// known to be the newest.
func (in *Ingress) keyAge(version uint64) (age time.Duration, known bool) {
	if in.cfg.KeyLease.Age == nil {
		return 0, true
	}
	return in.cfg.KeyLease.Age(version)
}

// checkQuota takes the request from the quota of its organisation. A request
// that needs no quota, such as a nested call, has no organisation.
func (in *Ingress) checkQuota(ctx context.Context, req *request) *problem {
	if in.cfg.Quotas == nil || req.organisation == nil || req.organisation.Quota == (bundle.Quota{}) {
		return nil
	}
	decision := in.cfg.Quotas.Take(ctx, req.tenant, req.organisation.Quota)
	if decision.Granted {
		req.quota = decision
		return nil
	}
	status, detail := http.StatusTooManyRequests, "the organisation's quota is used up"
	if decision.Unknown {
		status, detail = http.StatusServiceUnavailable, "the node could not learn in time whether the organisation's quota allows the request"
	}
	in.cfg.Log.Log(event.QuotaRejected, event.Fields{
		"request": req.id, "tenant": req.tenant, "unknown": decision.Unknown, "retryAfterMs": decision.RetryAfter.Milliseconds(),
	})
	p := req.problemBeforeAttempt(status, detail)
	p.retryAfter = decision.RetryAfter
	return p
}

// returnQuota gives the request's place in its quota back if it did not run.
func (in *Ingress) returnQuota(req *request) {
	if req.quota.Granted {
		in.cfg.Quotas.Return(req.tenant, req.quota)
	}
}
