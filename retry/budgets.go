package retry

import (
	"sync"

	"monsoonferry.org/ferry"
)

// Budgets holds the budgets of all services. The zero Budgets is ready to use
// and safe for concurrent use.
type Budgets struct {
	budgets sync.Map
}

// Budget returns the budget of a service.
func (b *Budgets) Budget(id ferry.ServiceID) *Budget {
	if budget, ok := b.budgets.Load(id); ok {
		return budget.(*Budget)
	}
	budget, _ := b.budgets.LoadOrStore(id, &Budget{})
	return budget.(*Budget)
}
