// Package naive is the version that the real decisions are compared with: round
// robin over healthy endpoints, no ranks, three retries on any error, and a map
// per daemon against double runs. It stands behind the same interfaces.
package naive
