package naive

import (
	"github.com/flamingomount/flamingomount/pkg/types"
)

// MaxRetries is how often a failed request is sent again, whatever failed.
const MaxRetries = 3

// Retry reports whether to send a request again after that many attempts.
func Retry(attempts int, _ *types.Failure) bool {
	return attempts <= MaxRetries
}
