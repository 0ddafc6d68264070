package daemon

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/flamingomount/flamingomount/pkg/control/quarantine"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/peer/peerhttp"
	"github.com/flamingomount/flamingomount/pkg/stage/isolate"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// isolationSender sends requests about contents that may crash endpoints to
// other daemons.
type isolationSender struct {
	live *liveControl
}

var _ isolate.Sender = (*isolationSender)(nil)

// Call sends one request and returns the response. A reply without an isolation
// answer is an error.
func (s *isolationSender) Call(ctx context.Context, to types.VMID, req quarantine.OwnerRequest) (quarantine.Answer, error) {
	reply, err := s.live.client.Send(ctx, &peer.Message{From: s.live.self.Incarnation, To: to, Isolation: &req})
	if err != nil {
		return quarantine.Answer{}, err
	}
	if reply.IsolationAnswer == nil {
		return quarantine.Answer{}, eris.Errorf("%s gave no answer about a content", to)
	}
	return *reply.IsolationAnswer, nil
}

// isolationAnswerer responds to requests about contents from the tracker, without
// involving the control state, and passes every other message to the control
// state.
type isolationAnswerer struct {
	live *liveControl
	next peerhttp.Responder
}

var _ peerhttp.Responder = (*isolationAnswerer)(nil)

// Answer returns the response to a message; nil if there is none.
func (a *isolationAnswerer) Answer(ctx context.Context, msg *peer.Message) *peer.Message {
	if msg.Isolation == nil {
		return a.next.Answer(ctx, msg)
	}
	response := a.live.tracker.Handle(*msg.Isolation, a.live.now())
	return &peer.Message{From: a.live.self.Incarnation, To: msg.From.VM, IsolationAnswer: &response}
}
