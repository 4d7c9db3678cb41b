package claims

// orgIndex numbers the organisations that have claims, and counts their claims.
// Numbers are private to a process; snapshots contain names.
type orgIndex struct {
	ids    map[string]uint32
	names  map[uint32]string
	claims map[uint32]int
	next   uint32
}

func newOrgIndex() orgIndex {
	return orgIndex{ids: map[string]uint32{}, names: map[uint32]string{}, claims: map[uint32]int{}}
}

func (o *orgIndex) id(name string) uint32 {
	if id, ok := o.ids[name]; ok {
		return id
	}
	o.next++
	o.ids[name] = o.next
	o.names[o.next] = name
	return o.next
}

func (o *orgIndex) count(id uint32) int { return o.claims[id] }

func (o *orgIndex) add(id uint32) { o.claims[id]++ }

func (o *orgIndex) remove(id uint32) {
	o.claims[id]--
	o.dropUnused(id)
}

func (o *orgIndex) dropUnused(id uint32) {
	if o.claims[id] > 0 {
		return
	}
	delete(o.ids, o.names[id])
	delete(o.names, id)
	delete(o.claims, id)
}
