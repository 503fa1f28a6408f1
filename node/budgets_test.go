package node

import (
	"testing"

	"github.com/matryer/is"
)

// The limits follow from the memory and the descriptors of the VM. Together they leave
// the descriptors that the machine reserves for files.
func TestBudgets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(newBudgets(0, 0), budgets{})
	is.Equal(newBudgets(284<<20, 4100), budgets{
		bodyBytes: 71 << 20, headerBytes: 284 << 20 / 16, callers: 1726, targetConnections: 1342, ports: 191,
	})
	// The smallest VM: its memory bounds the callers.
	smallest := newBudgets(184<<20, 4100)
	is.Equal(smallest.bodyBytes, int64(46<<20))
	is.Equal(smallest.callers, 1472)
	for _, descriptors := range []int{400, 1000, 4100, 20000} {
		b := newBudgets(0, descriptors)
		is.True(b.callers+b.targetConnections+4*b.ports+otherDescriptors+fileDescriptors <= descriptors)
		is.True(b.ports > 0)
	}
}
