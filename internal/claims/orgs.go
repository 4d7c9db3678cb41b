package claims

// orgIndex numbers the organisations that hold claims and counts these.
// Numbers are private to a process; snapshots carry names.
type orgIndex struct {
	ids   map[string]uint32
	names map[uint32]string
	held  map[uint32]int
	next  uint32
}

func newOrgIndex() orgIndex {
	return orgIndex{ids: map[string]uint32{}, names: map[uint32]string{}, held: map[uint32]int{}}
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

func (o *orgIndex) count(id uint32) int { return o.held[id] }

func (o *orgIndex) add(id uint32) { o.held[id]++ }

func (o *orgIndex) remove(id uint32) {
	o.held[id]--
	o.dropUnused(id)
}

func (o *orgIndex) dropUnused(id uint32) {
	if o.held[id] > 0 {
		return
	}
	delete(o.ids, o.names[id])
	delete(o.names, id)
	delete(o.held, id)
}
