package ingress

import (
	"hash/maphash"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/retry"
)

const (
	limiterShards = 64
	// tenantsPerShard limits the memory used by limiters: 64 shards of 1,024
	// tenants take about 10 MB. When a shard holds that many, tenants with a
	// full token bucket are evicted; they would start with a full bucket again.
	// Other tenants are kept, so a shard can hold more.
	tenantsPerShard = 1024
	// retryRatio is the maximum number of retries per request of a class, so
	// that retries cannot amplify a surge of failures.
	retryRatio = 0.1
	// minRetriesPerSecond lets classes with few requests retry at all.
	minRetriesPerSecond = 3
)

// tenantLimiter holds a token bucket for each recently seen tenant.
type tenantLimiter struct {
	seed   maphash.Seed
	shards [limiterShards]limiterShard
}

type limiterShard struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

func newTenantLimiter() *tenantLimiter {
	l := &tenantLimiter{seed: maphash.MakeSeed()}
	for i := range l.shards {
		l.shards[i].limiters = make(map[string]*rate.Limiter)
	}
	return l
}

// allow takes one token from the tenant's bucket. If the bucket is empty, it
// returns false and the time after which the caller may try again.
func (l *tenantLimiter) allow(tenant string, limit bundle.Limit, now time.Time) (bool, time.Duration) {
	shard := &l.shards[maphash.String(l.seed, tenant)%limiterShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	limiter, ok := shard.limiters[tenant]
	if !ok {
		if len(shard.limiters) >= tenantsPerShard {
			shard.evictIdle(now)
		}
		limiter = rate.NewLimiter(rate.Limit(limit.RequestsPerSecond), int(limit.Burst))
		shard.limiters[tenant] = limiter
	}
	if limiter.Limit() != rate.Limit(limit.RequestsPerSecond) || limiter.Burst() != int(limit.Burst) {
		limiter.SetLimitAt(now, rate.Limit(limit.RequestsPerSecond))
		limiter.SetBurstAt(now, int(limit.Burst))
	}
	if limiter.AllowN(now, 1) {
		return true, 0
	}
	missing := 1 - limiter.TokensAt(now)
	return false, time.Duration(missing / limit.RequestsPerSecond * float64(time.Second))
}

// evictIdle removes the limiters whose token bucket is full.
func (s *limiterShard) evictIdle(now time.Time) {
	for tenant, limiter := range s.limiters {
		if limiter.TokensAt(now) >= float64(limiter.Burst()) {
			delete(s.limiters, tenant)
		}
	}
}

// checkRateLimit applies this node's rate limit of the tenant.
func (in *Ingress) checkRateLimit(req *request) *problem {
	limit := req.view.Bundle.Limit(req.tenant)
	ok, wait := in.tenants.allow(req.tenantLabel(), limit, req.received)
	if ok {
		return nil
	}
	p := req.problemBeforeAttempt(http.StatusTooManyRequests, "the organisation's request limit is used up")
	p.retryAfter = wait
	return p
}

// budgets holds the retry budgets of this node: one for each class, or one for
// each service if the fleet shares a budget.
type budgets struct {
	fleetBudget FleetRetryBudget
	startedAt   time.Time
	nodes       atomic.Int64
	byClass     sync.Map // classKey -> budget
}

type classKey struct{ service, class string }

// budget counts requests and grants retries.
type budget interface {
	retry.Withdrawer
	Deposit(now time.Time)
	// Available reports whether Withdraw would succeed.
	Available(now time.Time) bool
	// Refund returns a withdrawn retry that was not made.
	Refund(now time.Time)
}

// FleetRetryBudget is a retry budget for each service that all nodes of the
// fleet share.
type FleetRetryBudget struct {
	// Ratio is the number of retries per request, Allowance the number of
	// additional retries in each Window.
	Ratio, Allowance float64
	Window           time.Duration
}

// fleetBudgetFraction is the fraction of the fleet's budget that nodes use. The
// rest covers nodes that temporarily do not know of each other, and calls made
// by retried runs, which are counted only on average.
const fleetBudgetFraction = 0.85

func newBudgets(r FleetRetryBudget, clock func() time.Time) *budgets {
	return &budgets{fleetBudget: r, startedAt: clock()}
}

// setNodeCount sets the number of nodes that share the allowance.
func (b *budgets) setNodeCount(nodes int) {
	if nodes = max(nodes, 1); b.fleetBudget.Window == 0 || b.nodes.Swap(int64(nodes)) == int64(nodes) {
		return
	}
	b.byClass.Range(func(_, value any) bool {
		if share, ok := value.(*retry.FleetBudgetShare); ok {
			share.SetAllowance(b.allowance())
		}
		return true
	})
}

func (b *budgets) allowance() float64 {
	return fleetBudgetFraction * b.fleetBudget.Allowance / float64(max(b.nodes.Load(), 1))
}

// forClass returns the budget of a class, or of its whole service if the fleet
// shares a budget.
func (b *budgets) forClass(service, class string) budget {
	key := classKey{service, class}
	if b.fleetBudget.Window > 0 {
		key.class = ""
	}
	if stored, ok := b.byClass.Load(key); ok {
		return stored.(budget)
	}
	var created budget = retry.NewBudget(retryRatio, minRetriesPerSecond)
	if b.fleetBudget.Window > 0 {
		created = retry.NewFleetBudgetShare(fleetBudgetFraction*b.fleetBudget.Ratio, b.allowance(), b.fleetBudget.Window, b.startedAt)
	}
	stored, _ := b.byClass.LoadOrStore(key, created)
	return stored.(budget)
}
