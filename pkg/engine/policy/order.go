package policy

import "math/rand/v2"

// RandomOrder returns the start and the step of a random walk over the indices below n: (first + k*step) % n visits each
// of them once.
func RandomOrder(rng *rand.Rand, n int) (first, step int) {
	first = rng.IntN(n)
	for {
		if step = 1 + rng.IntN(n); gcd(step, n) == 1 {
			return first, step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
