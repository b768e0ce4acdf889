package routing

import (
	"slices"

	"fescuespar/internal/core"
)

// cell lists the servers of one region that hold one adapter at one version
// and may get work.
type cell struct {
	version core.WeightVersion
	members []*server
}

// placement is a server's place in a cell.
type placement struct {
	cell *cell
	at   int
}

// adapterIndex holds the cells of one adapter, one for each version in use.
type adapterIndex struct {
	adapter core.AdapterName
	cells   []*cell
}

// regionIndex holds the servers of one pool in one region.
type regionIndex struct {
	name     core.RegionName
	adapters []*adapterIndex
	unknown  cell // polled engines that have not reported yet
	unpolled cell // engines that this process does not poll
	reported int  // engines in the cells of what they reported
	size     int  // servers of the region, also those that get no work
}

// add lists the server once.
func (c *cell) add(row *server) {
	if slices.ContainsFunc(row.placed, func(p placement) bool { return p.cell == c }) {
		return
	}
	row.placed = append(row.placed, placement{cell: c, at: len(c.members)})
	c.members = append(c.members, row)
}

// remove fills the place with the cell's last member.
func (c *cell) remove(at int) {
	last := len(c.members) - 1
	moved := c.members[last]
	c.members[at] = moved
	c.members[last] = nil
	c.members = c.members[:last]
	for i := range moved.placed {
		if moved.placed[i].cell == c {
			moved.placed[i].at = at
			return
		}
	}
}

// adapter returns the index of an adapter, or nil.
func (r *regionIndex) adapter(name core.AdapterName) *adapterIndex {
	for _, index := range r.adapters {
		if index.adapter == name {
			return index
		}
	}
	return nil
}

// cellFor returns the cell of an adapter's version, making it when needed.
func (r *regionIndex) cellFor(name core.AdapterName, version core.WeightVersion) *cell {
	index := r.adapter(name)
	if index == nil {
		index = &adapterIndex{adapter: name}
		r.adapters = append(r.adapters, index)
	}
	for _, c := range index.cells {
		if c.version == version {
			return c
		}
	}
	c := &cell{version: version}
	index.cells = append(index.cells, c)
	return c
}

// prune drops empty cells and adapters, which old versions leave behind.
func (r *regionIndex) prune() {
	for _, index := range r.adapters {
		index.cells = slices.DeleteFunc(index.cells, func(c *cell) bool { return len(c.members) == 0 })
	}
	r.adapters = slices.DeleteFunc(r.adapters, func(index *adapterIndex) bool { return len(index.cells) == 0 })
}

// place lists the server in the cells of what it holds, or in none while it
// may get no work.
func (r *regionIndex) place(row *server) {
	r.unplace(row)
	switch {
	case !row.eligible():
	case row.vm.Kind != core.KindEngine:
		r.cellFor("", 0).add(row)
	case row.unpolled:
		r.unpolled.add(row)
	case !row.reported:
		r.unknown.add(row)
	case len(row.status.Versions) == 0:
		r.cellFor(row.status.Adapter, row.status.Version).add(row)
	default:
		r.placeAdapters(row)
	}
	if row.vm.Kind == core.KindEngine && row.reported && len(row.placed) > 0 {
		row.counted = true
		r.reported++
	}
	r.prune()
}

// placeAdapters takes the first entry of an adapter that a report names twice,
// as EngineStatus.Holds does.
func (r *regionIndex) placeAdapters(row *server) {
	for _, held := range row.status.Versions {
		if first, _ := row.status.Holds(held.Adapter); first == held {
			r.cellFor(held.Adapter, held.Version).add(row)
		}
	}
}

func (r *regionIndex) unplace(row *server) {
	if row.counted {
		row.counted = false
		r.reported--
	}
	for _, place := range row.placed {
		place.cell.remove(place.at)
	}
	row.placed = row.placed[:0]
}

// choice is the servers of one region that fit a query's adapter and version.
type choice struct {
	index   *adapterIndex
	unknown *cell // set for engines without a report, which may hold any adapter
	query   *Query
	count   int
}

// choose returns the fitting servers without listing them. Engines that are not
// polled fit a query for any version if all that reported hold its adapter.
func (r *regionIndex) choose(query *Query) choice {
	found := choice{index: r.adapter(query.Adapter), query: query}
	if found.index != nil {
		for _, c := range found.index.cells {
			if query.allows(c.version) {
				found.count += len(c.members)
			}
		}
	}
	if query.Version == 0 && found.count == r.reported {
		found.unknown = &r.unpolled
		found.count += len(r.unpolled.members)
	}
	return found
}

// chooseUnknown returns the polled engines that have not reported. They fit a
// query for any version only.
func (r *regionIndex) chooseUnknown(query *Query) choice {
	if query.Version > 0 {
		return choice{}
	}
	return choice{unknown: &r.unknown, count: len(r.unknown.members)}
}

// at returns the i-th fitting server, 0 <= i < count.
func (c *choice) at(i int) *server {
	if c.unknown != nil {
		if i < len(c.unknown.members) {
			return c.unknown.members[i]
		}
		i -= len(c.unknown.members)
	}
	for _, cell := range c.index.cells {
		if !c.query.allows(cell.version) {
			continue
		}
		if i < len(cell.members) {
			return cell.members[i]
		}
		i -= len(cell.members)
	}
	return nil
}
