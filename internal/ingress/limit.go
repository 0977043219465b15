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
	repeats Repeats
	began   time.Time
	nodes   atomic.Int64
	byClass sync.Map // budgetKey -> budget
}

type budgetKey struct{ service, class string }

// budget counts requests and allows repeats.
type budget interface {
	retry.Withdrawer
	Deposit(now time.Time)
	// Available reports whether Withdraw would succeed.
	Available(now time.Time) bool
	// Refund returns a repeat that was not made.
	Refund(now time.Time)
}

// Repeats is a budget of repeats for each service that all nodes share.
type Repeats struct {
	// Ratio is the number of repeats for each request, Allowance the number of
	// further ones in each Window.
	Ratio, Allowance float64
	Window           time.Duration
}

// repeatsMargin is the part of the fleet's budget that is used. The rest covers
// nodes that do not know of each other for a while and calls of repeated runs
// that are counted only on average.
const repeatsMargin = 0.85

func newBudgets(r Repeats, clock func() time.Time) *budgets {
	return &budgets{repeats: r, began: clock()}
}

// divide tells how many nodes share the allowance.
func (b *budgets) divide(nodes int) {
	if nodes = max(nodes, 1); b.repeats.Window == 0 || b.nodes.Swap(int64(nodes)) == int64(nodes) {
		return
	}
	b.byClass.Range(func(_, value any) bool {
		if share, ok := value.(*retry.Share); ok {
			share.SetAllowance(b.allowance())
		}
		return true
	})
}

func (b *budgets) allowance() float64 {
	return repeatsMargin * b.repeats.Allowance / float64(max(b.nodes.Load(), 1))
}

func (b *budgets) of(service, class string) budget {
	key := budgetKey{service, class}
	if b.repeats.Window > 0 {
		key.class = ""
	}
	if found, ok := b.byClass.Load(key); ok {
		return found.(budget)
	}
	var fresh budget = retry.NewBudget(retryRatio, retriesPerSecond)
	if b.repeats.Window > 0 {
		fresh = retry.NewShare(repeatsMargin*b.repeats.Ratio, b.allowance(), b.repeats.Window, b.began)
	}
	found, _ := b.byClass.LoadOrStore(key, fresh)
	return found.(budget)
}
