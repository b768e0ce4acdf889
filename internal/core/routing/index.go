package routing

import (
	"slices"

	"fescuespar/internal/core"
)

// bucket lists the eligible servers of one region that hold one adapter at one
// version.
type bucket struct {
	version core.WeightVersion
	servers []*server
}

// bucketEntry is a server's position in a bucket.
type bucketEntry struct {
	bucket *bucket
	index  int
}

// adapterIndex holds the buckets of one adapter, one for each version in use.
type adapterIndex struct {
	adapter core.AdapterName
	buckets []*bucket
}

// regionIndex indexes the servers of one pool in one region.
type regionIndex struct {
	name          core.RegionName
	adapters      []*adapterIndex
	unreported    bucket // polled engines without a report
	unpolled      bucket // engines not polled by this process
	slow          bucket // live servers that are ejected because they are slow
	reportedCount int    // engines indexed by their reports
	serverCount   int    // all servers of the region, including ineligible ones
}

// add appends the server unless the bucket already contains it.
func (b *bucket) add(srv *server) {
	if slices.ContainsFunc(srv.bucketEntries, func(e bucketEntry) bool { return e.bucket == b }) {
		return
	}
	srv.bucketEntries = append(srv.bucketEntries, bucketEntry{bucket: b, index: len(b.servers)})
	b.servers = append(b.servers, srv)
}

// remove deletes the server at an index by moving the last server there.
func (b *bucket) remove(index int) {
	last := len(b.servers) - 1
	moved := b.servers[last]
	b.servers[index] = moved
	b.servers[last] = nil
	b.servers = b.servers[:last]
	for i := range moved.bucketEntries {
		if moved.bucketEntries[i].bucket == b {
			moved.bucketEntries[i].index = index
			return
		}
	}
}

// adapter returns the index of the named adapter, or nil.
func (r *regionIndex) adapter(name core.AdapterName) *adapterIndex {
	for _, index := range r.adapters {
		if index.adapter == name {
			return index
		}
	}
	return nil
}

// bucketFor returns the bucket of an adapter's version and creates it if
// missing.
func (r *regionIndex) bucketFor(name core.AdapterName, version core.WeightVersion) *bucket {
	index := r.adapter(name)
	if index == nil {
		index = &adapterIndex{adapter: name}
		r.adapters = append(r.adapters, index)
	}
	for _, b := range index.buckets {
		if b.version == version {
			return b
		}
	}
	b := &bucket{version: version}
	index.buckets = append(index.buckets, b)
	return b
}

// removeEmptyBuckets deletes empty buckets and adapters, which remain after
// version changes.
func (r *regionIndex) removeEmptyBuckets() {
	for _, index := range r.adapters {
		index.buckets = slices.DeleteFunc(index.buckets, func(b *bucket) bool { return len(b.servers) == 0 })
	}
	r.adapters = slices.DeleteFunc(r.adapters, func(index *adapterIndex) bool { return len(index.buckets) == 0 })
}

// reindex moves the server to the buckets of the versions that it holds, or
// out of all buckets while it is not eligible.
func (r *regionIndex) reindex(srv *server) {
	r.removeFromIndex(srv)
	srv.placedAs = srv.placement()
	switch {
	case srv.placedAs == unlisted:
	case srv.placedAs == listedSlow:
		r.slow.add(srv)
	case srv.vm.Kind != core.KindEngine:
		r.bucketFor("", 0).add(srv)
	case srv.unpolled:
		r.unpolled.add(srv)
	case !srv.hasReport:
		r.unreported.add(srv)
	case len(srv.status.Versions) == 0:
		r.bucketFor(srv.status.Adapter, srv.status.Version).add(srv)
	default:
		r.indexByAdapter(srv)
	}
	if srv.vm.Kind == core.KindEngine && srv.hasReport && srv.placedAs == listed && len(srv.bucketEntries) > 0 {
		srv.countedAsReported = true
		r.reportedCount++
	}
	r.removeEmptyBuckets()
}

// indexByAdapter adds an engine to the buckets of its adapters. If a report
// names an adapter twice, the first entry counts, as in EngineStatus.Holds.
func (r *regionIndex) indexByAdapter(srv *server) {
	for _, held := range srv.status.Versions {
		if first, _ := srv.status.Holds(held.Adapter); first == held {
			r.bucketFor(held.Adapter, held.Version).add(srv)
		}
	}
}

func (r *regionIndex) removeFromIndex(srv *server) {
	if srv.countedAsReported {
		srv.countedAsReported = false
		r.reportedCount--
	}
	for _, entry := range srv.bucketEntries {
		entry.bucket.remove(entry.index)
	}
	srv.bucketEntries = srv.bucketEntries[:0]
}

// matchSet is the set of one region's servers that match a query's adapter and
// version.
type matchSet struct {
	index      *adapterIndex
	anyAdapter *bucket // engines without a report, which may hold any adapter; may be nil
	query      *Query
	count      int
}

// match returns the matching servers without enumerating them. Unpolled engines
// match a query for any version if all engines that reported hold its adapter.
func (r *regionIndex) match(query *Query) matchSet {
	found := matchSet{index: r.adapter(query.Adapter), query: query}
	if found.index != nil {
		for _, b := range found.index.buckets {
			if query.allowsVersion(b.version) {
				found.count += len(b.servers)
			}
		}
	}
	if query.Version == 0 && found.count == r.reportedCount {
		found.anyAdapter = &r.unpolled
		found.count += len(r.unpolled.servers)
	}
	return found
}

// matchUnreported returns the polled engines without a report. They match only
// queries for any version.
func (r *regionIndex) matchUnreported(query *Query) matchSet {
	if query.Version > 0 {
		return matchSet{}
	}
	return matchSet{anyAdapter: &r.unreported, count: len(r.unreported.servers)}
}

// server returns the i-th matching server, 0 <= i < count.
func (m *matchSet) server(i int) *server {
	if m.anyAdapter != nil {
		if i < len(m.anyAdapter.servers) {
			return m.anyAdapter.servers[i]
		}
		i -= len(m.anyAdapter.servers)
	}
	for _, b := range m.index.buckets {
		if !m.query.allowsVersion(b.version) {
			continue
		}
		if i < len(b.servers) {
			return b.servers[i]
		}
		i -= len(b.servers)
	}
	return nil
}
