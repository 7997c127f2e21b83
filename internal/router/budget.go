package router

import "sync"

// budget limits retries to a share of the requests, per department and service.
type budget struct {
	mutex  sync.Mutex
	tokens map[budgetKey]float64
}

type budgetKey struct {
	department string
	service    string
}

const (
	// initialTokens is the number of retries that a new caller has at once.
	initialTokens = 3
	// maxTokens limits the retries that a caller can accumulate.
	maxTokens = 20
	// maxCallers limits the pairs of department and service with a balance. All
	// balances are dropped when a new pair would exceed it.
	maxCallers = 10000
	percent    = 100
)

func newBudget() *budget { return &budget{tokens: map[budgetKey]float64{}} }

// deposit adds the fraction of a retry that one request allows; share is in percent.
func (b *budget) deposit(department, service string, share int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	key := budgetKey{department, service}
	tokens, ok := b.tokens[key]
	if !ok && len(b.tokens) >= maxCallers {
		clear(b.tokens)
	}
	if !ok {
		tokens = initialTokens
	}
	b.tokens[key] = min(maxTokens, tokens+float64(share)/percent)
}

// withdraw takes one retry from the budget. It returns false if less than one is left.
func (b *budget) withdraw(department, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	key := budgetKey{department, service}
	if b.tokens[key] < 1 {
		return false
	}
	b.tokens[key]--
	return true
}
