package retry

import (
	"sync"

	"monsoonferry.org/ferry"
)

// Set holds the budgets of all services. The zero Set is ready to use and
// safe for concurrent use.
type Set struct {
	budgets sync.Map
}

// Budget returns the budget of a service.
func (s *Set) Budget(id ferry.ServiceID) *Budget {
	if budget, ok := s.budgets.Load(id); ok {
		return budget.(*Budget)
	}
	budget, _ := s.budgets.LoadOrStore(id, &Budget{})
	return budget.(*Budget)
}
