package truetime

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

const (
	storeOrigin = 123456 * time.Second        // the store's clock at true time zero
	epoch       = 1_767_225_600 * time.Second // true time at the start of a test
	usualTrip   = 4 * time.Millisecond        // round trip of a read of rows
	vmError     = time.Millisecond            // largest error of a VM's time of day, as time services reach it in one region
	slowTrip    = 80 * usualTrip              // of a slow store
	tolerance   = 5 * time.Millisecond        // a thousandth of a window
)

// fleetVM is a VM of a test with its clocks.
type fleetVM struct {
	clock  *Clock
	booted time.Duration // true time at which its monotonic clock was zero
	error  time.Duration // of its time of day
	jump   time.Duration // in force
	trip   time.Duration // shortest round trip to the store
}

func (vm *fleetVM) now(trueTime time.Duration) time.Time {
	return time.Unix(0, 0).Add(trueTime - vm.booted)
}

// readStore reads the store's clock, which has a resolution of a millisecond and is read
// at any time of the round trip.
func (vm *fleetVM) readStore(random *rand.Rand, trueTime time.Duration) {
	trip := vm.trip + time.Duration(random.ExpFloat64()*float64(vm.trip)/4)
	at := trueTime + time.Duration(random.Float64()*float64(trip))
	vm.clock.ObserveStore(core.StoreTime{
		Sent: vm.now(trueTime), Received: vm.now(trueTime + trip), Now: (at - storeOrigin).Truncate(time.Millisecond),
	})
}

func (vm *fleetVM) readTimeOfDay(trueTime time.Duration) {
	vm.clock.ObserveTimeOfDay(vm.now(trueTime), time.Unix(0, 0).Add(trueTime+vm.error+vm.jump))
}

// fleet is a set of VMs that publish their offsets.
type fleet struct {
	random    *rand.Rand
	now       time.Duration // true time
	vms       []*fleetVM
	published []time.Duration // by VM; zero for none
}

func newFleet(seed uint64, vms int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: epoch, published: make([]time.Duration, vms)}
	for range vms {
		vm := &fleetVM{booted: epoch - time.Duration(f.random.IntN(1e6))*time.Second, trip: usualTrip}
		vm.error = time.Duration((2*f.random.Float64() - 1) * float64(vmError))
		f.vms = append(f.vms, vm)
		f.restart(vm)
	}
	return f
}

func (f *fleet) restart(vm *fleetVM) { vm.clock = New() }

// run lets each VM read the store and its time of day once in a second, publish, and read
// what the others have published.
func (f *fleet) run(seconds int) {
	for range seconds {
		f.now += time.Second
		for i, vm := range f.vms {
			vm.readStore(f.random, f.now)
			vm.readTimeOfDay(f.now)
			f.published[i], _ = vm.clock.Measured(vm.now(f.now))
		}
		for i := range f.vms {
			f.readOthers(i)
		}
	}
}

func (f *fleet) readOthers(i int) {
	var others []time.Duration
	for j, offset := range f.published {
		if i != j && offset != 0 {
			others = append(others, offset)
		}
	}
	f.vms[i].clock.SetOthers(others, len(f.vms)-1, f.vms[i].now(f.now))
}

// worst returns the largest difference between true time and what a VM takes for it, and
// between two VMs.
func (f *fleet) worst(t *testing.T) (fromTrue, apart time.Duration) {
	t.Helper()
	var errors []time.Duration
	for _, vm := range f.vms {
		at, known := vm.clock.At(vm.now(f.now))
		if !known {
			t.Fatal("true time is not known")
		}
		off := sinceEpoch(at) - f.now
		errors = append(errors, off)
		fromTrue = max(fromTrue, off.Abs())
	}
	return fromTrue, slices.Max(errors) - slices.Min(errors)
}

// TestJumpsMoveNoWindow lets the time of day of VMs jump by seconds and back, of more and
// more of them, and restarts processes during the jumps.
func TestJumpsMoveNoWindow(t *testing.T) {
	for _, vms := range []int{3, 4, 10, 75} {
		for seed := range uint64(8) {
			f := newFleet(seed, vms)
			f.run(10)
			var largest, widest time.Duration
			check := func(what string) {
				fromTrue, apart := f.worst(t)
				largest, widest = max(largest, fromTrue), max(widest, apart)
				if fromTrue > tolerance || apart > tolerance {
					t.Errorf("%d VMs, seed %d, %s: %v from true time, %v apart", vms, seed, what, fromTrue, apart)
				}
			}
			check("before")
			for _, i := range f.random.Perm(vms)[:(vms-1)/2] {
				f.vms[i].jump = time.Duration((f.random.Float64() - 0.5) * float64(20*time.Second))
				f.run(1)
				check("jump")
			}
			restarted := f.vms[f.random.IntN(vms)]
			f.restart(restarted)
			f.run(1)
			check("restart during jumps")
			for _, vm := range f.vms {
				vm.jump = 0
			}
			f.run(1)
			check("jump back")
			if seed == 0 {
				t.Logf("%d VMs: at most %v from true time, %v apart", vms, largest, widest)
			}
		}
	}
}

// TestJumpOfAllIsNotFollowed guards against a jump of most VMs at once, as after a change
// of their time server.
func TestJumpOfAllIsNotFollowed(t *testing.T) {
	f := newFleet(1, 10)
	f.run(10)
	for _, vm := range f.vms {
		vm.jump = 3 * time.Second
	}
	f.run(5)
	if fromTrue, _ := f.worst(t); fromTrue > tolerance {
		t.Errorf("%v from true time after a jump of all", fromTrue)
	}
}

// TestSlowStoreDoesNotMoveTheClock has a store that is slow for a third of the VMs: their
// readings are wrong by up to half of a round trip.
func TestSlowStoreDoesNotMoveTheClock(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 12)
		f.run(40)
		for _, vm := range f.vms[:4] {
			vm.trip = slowTrip
		}
		f.run(60)
		if fromTrue, apart := f.worst(t); fromTrue > tolerance || apart > tolerance {
			t.Errorf("seed %d: %v from true time, %v apart", seed, fromTrue, apart)
		}
	}
}

// TestRestartedProcessAgreesAtOnce restarts a process whose VM's time of day is wrong: its
// first reads give it the offset of the others.
func TestRestartedProcessAgreesAtOnce(t *testing.T) {
	f := newFleet(1, 5)
	f.run(10)
	vm := f.vms[0]
	vm.jump = -4 * time.Second
	f.restart(vm)
	if _, known := vm.clock.At(vm.now(f.now)); known {
		t.Error("true time is known without a reading of the store's clock")
	}
	vm.readStore(f.random, f.now)
	vm.readTimeOfDay(f.now)
	if _, known := vm.clock.At(vm.now(f.now)); known {
		t.Error("true time is known by the VM's own time of day alone")
	}
	f.readOthers(0)
	if fromTrue, _ := f.worst(t); fromTrue > tolerance {
		t.Errorf("%v from true time", fromTrue)
	}
}

func TestProcessAloneGoesByItsTimeOfDay(t *testing.T) {
	f := newFleet(1, 1)
	f.vms[0].readStore(f.random, f.now)
	f.vms[0].readTimeOfDay(f.now)
	f.readOthers(0)
	if fromTrue, _ := f.worst(t); fromTrue > 4*tolerance {
		t.Errorf("%v from true time", fromTrue)
	}
}

// TestStoreWithAnotherClock has a store that is replaced by one with another origin: the
// readings before and after must not be averaged.
func TestStoreWithAnotherClock(t *testing.T) {
	var clock StoreClock
	read := func(second int, origin time.Duration) {
		sent := time.Unix(int64(second), 0)
		clock.Observe(core.StoreTime{Sent: sent, Received: sent.Add(usualTrip), Now: sinceEpoch(sent) + origin})
	}
	for second := range 100 {
		origin := time.Hour
		if second >= 90 {
			origin = time.Minute
		}
		read(second, origin)
	}
	offset, known := clock.Offset(time.Unix(100, 0))
	if want := time.Minute - usualTrip/2; !known || (offset-want).Abs() > time.Millisecond {
		t.Errorf("offset %v, want %v", offset, want)
	}
}
