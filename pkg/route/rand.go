package route

// Float64 returns a uniform random number in [0, 1).
func Float64(r Rand) float64 {
	const mantissaBits = 53
	return float64(r.Uint64()>>(64-mantissaBits)) / (1 << mantissaBits)
}

// IntN returns a uniform random number in [0, n), or 0 when n is not positive.
func IntN(r Rand, n int) int {
	if n <= 0 {
		return 0
	}
	return min(int(Float64(r)*float64(n)), n-1)
}
