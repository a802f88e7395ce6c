package relay

// setContended records whether the pool's streams have different priorities.
func (p *pool) setContended(contended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contended = contended
}

// recordSlowness records how slow a target has stated its machine to be; 0 means that it did not say.
func (p *pool) recordSlowness(slowness float64) {
	if slowness == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statesSlowness = true
}

// placesByWork reports whether requests are placed by the work that they are expected to be.
func (p *pool) placesByWork() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contended || p.statesSlowness
}
