package routing

import (
	"cmp"
	"hash/fnv"
	"slices"

	"fescuespar/internal/core"
)

const (
	ringPoints = 8 // points of a server on its region's ring
	ringWalk   = 8 // points tried for a home that may get work
)

// ringPoint is a server's place on the ring.
type ringPoint struct {
	hash uint64
	row  *server
}

// ring is a consistent hash ring over the servers of a region. All entry
// processes with the same VM list agree on it.
type ring struct {
	points []ringPoint
	dirty  bool
}

func (r *ring) add(row *server) {
	for i := range ringPoints {
		r.points = append(r.points, ringPoint{hash: pointHash(row.vm.ID, i), row: row})
	}
	r.dirty = true
}

func (r *ring) remove(row *server) {
	r.points = slices.DeleteFunc(r.points, func(p ringPoint) bool { return p.row == row })
}

// settle sorts the points after additions.
func (r *ring) settle() {
	if !r.dirty {
		return
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.row.vm.ID, b.row.vm.ID))
	})
	r.dirty = false
}

// home returns the first server after a hash that may get work, or nil when
// none of the next few points has one.
func (r *ring) home(hash uint64) *server {
	if len(r.points) == 0 {
		return nil
	}
	key := mix(hash)
	at, _ := slices.BinarySearchFunc(r.points, key, func(p ringPoint, key uint64) int {
		return cmp.Compare(p.hash, key)
	})
	for i := range min(ringWalk, len(r.points)) {
		if row := r.points[(at+i)%len(r.points)].row; row.eligible() {
			return row
		}
	}
	return nil
}

func pointHash(id core.ServerID, point int) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return mix(hash.Sum64() + uint64(point))
}

// mix spreads a hash evenly over 64 bits (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
