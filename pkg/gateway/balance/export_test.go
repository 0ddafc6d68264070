package balance

// HoldNone makes the pool decide about large prompts as if none were held, so that specs can
// compare.
func (p *Pool) HoldNone() {
	p.holdsNone = true
}
