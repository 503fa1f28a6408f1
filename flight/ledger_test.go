package flight

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTakeAndRelease(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := NewLedger(100)
	a, b := l.Open("a"), l.Open("b")
	is.True(a.TakeSpare(50))
	// What is spare uses one half.
	is.True(!a.TakeSpare(1))
	is.True(a.Take(25))
	// The last quarter is not for an owner that holds more than a half.
	is.True(!a.Take(1))
	is.True(b.Take(25))
	is.True(!b.Take(1))
	freed := l.Freed()
	is.True(a.Retain())
	a.Release()
	select {
	case <-freed:
		t.Fatal("given back while in use")
	default:
	}
	a.Release()
	<-freed
	is.Equal(l.Usage(), Usage{Used: 25, Limit: 100, Owners: 1, Refused: 2})
	// Nothing is taken after the last release, and a further one does nothing.
	is.True(!a.Retain())
	is.True(!a.Take(1))
	a.Release()
	b.Give(5)
	is.Equal(l.Usage().Used, int64(20))
	b.Release()
	is.Equal(l.Usage().Used, int64(0))
}

func TestEndStalled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := NewLedger(100)
	var ended []string
	open := func(owner string, now time.Duration) *Hold {
		hold := l.Open(owner)
		hold.Receive(now, func() { ended = append(ended, owner) })
		return hold
	}
	a, b, c := open("a", 1*time.Second), open("b", 2*time.Second), open("c", 1*time.Second)
	is.True(!l.EndStalled(2*time.Second, 2*time.Second))
	a.Progress(3 * time.Second)
	is.True(c.Received())
	// Only b waits and made no progress; c has received its body.
	is.True(l.EndStalled(4*time.Second, 2*time.Second))
	is.True(!l.EndStalled(4*time.Second, 2*time.Second))
	is.Equal(ended, []string{"b"})
	is.True(b.IsEnded())
	is.True(!b.Received())
	is.True(a.Received())
}

func TestNoLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := NewLedger(0)
	hold := l.Open("a")
	is.True(hold.Take(1 << 40))
	is.True(hold.Retain())
	hold.Receive(0, nil)
	hold.Progress(0)
	is.True(hold.Received())
	is.True(!hold.IsEnded())
	hold.Give(1)
	hold.Release()
	is.True(!l.EndStalled(0, 0))
	is.Equal(l.Usage(), Usage{})
	is.True(l.Freed() == nil)
}

// Whatever requests do, the sum of what is held is what the ledger counts, never more
// than the limit, and nothing is left when all are gone.
func TestRandomHolds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	random := rand.New(rand.NewPCG(32, 7))
	l := NewLedger(1000)
	type user struct {
		hold  *Hold
		users int
	}
	var users []user
	for range 20000 {
		if len(users) < 20 {
			users = append(users, user{hold: l.Open([]string{"a", "b", "c"}[random.IntN(3)]), users: 1})
		}
		i := random.IntN(len(users))
		u := &users[i]
		switch random.IntN(5) {
		case 0:
			u.hold.Take(random.Int64N(100))
		case 1:
			u.hold.TakeSpare(random.Int64N(100))
		case 2:
			u.hold.Give(random.Int64N(20))
		case 3:
			is.True(u.hold.Retain())
			u.users++
		default:
			u.hold.Release()
			if u.users--; u.users == 0 {
				users = append(users[:i], users[i+1:]...)
			}
		}
		sum := int64(0)
		for _, other := range users {
			sum += other.hold.held
		}
		is.Equal(l.Usage().Used, sum)
		is.True(sum <= 1000)
	}
	for _, u := range users {
		for range u.users {
			u.hold.Release()
		}
	}
	is.Equal(l.Usage().Used, int64(0))
	is.Equal(l.Usage().Owners, 0)
}
