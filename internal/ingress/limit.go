package ingress

import (
	"hash/maphash"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"siskinvale.dev/siskinvale/internal/bundle"
	"siskinvale.dev/siskinvale/internal/retry"
)

const (
	limiterShards = 64
	// tenantsPerShard bounds the memory of limiters: 64 shards of 1,024 take
	// about 10 MB. When a shard is full, tenants whose burst is whole are
	// forgotten; they would start with the same burst again.
	tenantsPerShard = 1024
	// retryRatio is the largest share of retries among a class's requests, so
	// that retries cannot amplify a surge.
	retryRatio = 0.1
	// retriesPerSecond lets a class with few requests retry at all.
	retriesPerSecond = 3
)

// tenantLimiter holds a token bucket for each tenant seen lately.
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

// allow takes one token of tenant's bucket. Without one it returns the time
// after which the caller may try again.
func (l *tenantLimiter) allow(tenant string, limit bundle.Limit, now time.Time) (bool, time.Duration) {
	shard := &l.shards[maphash.String(l.seed, tenant)%limiterShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	limiter, ok := shard.limiters[tenant]
	if !ok {
		if len(shard.limiters) >= tenantsPerShard {
			shard.forgetIdle(now)
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

func (s *limiterShard) forgetIdle(now time.Time) {
	for tenant, limiter := range s.limiters {
		if limiter.TokensAt(now) >= float64(limiter.Burst()) {
			delete(s.limiters, tenant)
		}
	}
}

// limit applies the tenant's limit of this node.
func (in *Ingress) limit(req *request) *problem {
	limit := in.view.Load().Bundle.Limit(req.tenant)
	ok, wait := in.tenants.allow(req.tenant, limit, req.received)
	if ok {
		return nil
	}
	p := req.notRun(http.StatusTooManyRequests, "the organisation's request limit is used up")
	p.retryAfter = wait
	return p
}

// budgets holds one retry budget for each class.
type budgets struct {
	byClass sync.Map // budgetKey -> *retry.Budget
}

type budgetKey struct{ service, class string }

func newBudgets() *budgets { return &budgets{} }

func (b *budgets) of(service, class string) *retry.Budget {
	key := budgetKey{service, class}
	if budget, ok := b.byClass.Load(key); ok {
		return budget.(*retry.Budget)
	}
	budget, _ := b.byClass.LoadOrStore(key, retry.NewBudget(retryRatio, retriesPerSecond))
	return budget.(*retry.Budget)
}
