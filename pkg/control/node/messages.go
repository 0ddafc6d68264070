package node

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingomount/flamingomount/pkg/bundle"
	"github.com/flamingomount/flamingomount/pkg/control/configsync"
	"github.com/flamingomount/flamingomount/pkg/control/event"
	"github.com/flamingomount/flamingomount/pkg/peer"
	"github.com/flamingomount/flamingomount/pkg/snapshot"
	"github.com/flamingomount/flamingomount/pkg/types"
)

// maxBlobBytes bounds the blobs in one answer; the rest is asked for again.
const maxBlobBytes = 900_000

// message returns a message with what every message carries.
func (n *Node) message(now time.Time) *peer.Message {
	msg := &peer.Message{
		From: n.opts.Self.Incarnation, Region: n.opts.Self.Region, DataCentre: n.opts.Self.DataCentre,
		Revision: n.config.Revision(), ManifestHash: n.config.ShortHash(),
		Established: n.config.InForce() != nil && !n.pause.active,
		Beat:        n.members.Beat(now), Leaving: n.members.Leaving(),
		ListVersion: n.list.Version(),
		Members:     n.members.Updates(), Endpoints: n.endpoints.NextGossip(),
	}
	if n.opts.Quarantine != nil {
		msg.Crashes = n.opts.Quarantine.NextGossip()
	}
	return msg
}

// heartbeat returns a message that also offers to exchange summaries.
func (n *Node) heartbeat(now time.Time) *peer.Message {
	msg := n.message(now)
	msg.Exchange, msg.Digests = true, n.regions.Digests()
	return msg
}

// peerMessage takes a message of another daemon and answers it.
func (n *Node) peerMessage(e event.PeerMessage) {
	msg, now := e.Message, e.At
	n.heardPeer(now, msg)
	n.takeList(now, msg)
	n.regions.Merge(now, msg.Summaries)
	n.takeSigns(now, msg.Endpoints)
	if n.opts.Quarantine != nil && n.opts.Quarantine.Merge(now, msg.Crashes) {
		n.dirty = true
	}
	if e.Reply {
		n.sendWanted(now, msg)
		return
	}
	n.out.Reply = n.answer(now, msg)
}

// takeSigns takes signs that endpoints leave, and passes news on at once.
func (n *Node) takeSigns(now time.Time, signs []peer.EndpointSign) {
	isNews := false
	for _, sign := range signs {
		isNews = n.endpoints.MarkLeaving(now, sign.SeenAt, sign.Endpoint) || isNews
	}
	if isNews {
		n.tellSome(now)
	}
}

func (n *Node) heardPeer(now time.Time, msg *peer.Message) {
	n.members.HandleMessage(now, msg)
	holder := configsync.Holder{VM: msg.From.VM, Region: msg.Region, DataCentre: msg.DataCentre, Revision: msg.Revision}
	n.config.HeardPeer(now, holder, msg.ManifestHash, msg.Established)
	n.config.Answered(now, msg.From.VM, msg.Manifest, msg.Blobs)
	n.refreshedBy(msg)
}

// takeList brings the VM list up to date from a message, or asks for it.
func (n *Node) takeList(now time.Time, msg *peer.Message) {
	if n.list.Apply(msg.ListChange) || n.list.Set(msg.Listing) {
		n.listChanged(now)
	}
	if msg.ListVersion <= n.list.Version() || now.Before(n.listTime.nextAsk) {
		return
	}
	n.listTime.nextAsk = now.Add(listAskEvery)
	ask := n.message(now)
	ask.WantList = true
	n.send(now, msg.From.VM, ask)
}

// answer builds the reply to a message.
func (n *Node) answer(now time.Time, msg *peer.Message) *peer.Message {
	reply := n.message(now)
	reply.To = msg.From.VM
	if update, ok := n.members.SuspicionOf(msg.From.VM); ok {
		reply.Members = append(reply.Members, update)
	}
	if msg.WantManifest {
		reply.Manifest, reply.Blobs = n.config.Newer(msg.Revision)
	}
	if msg.WantList {
		reply.ListChange, reply.Listing = n.list.ChangesSince(msg.ListVersion)
	}
	if msg.Exchange {
		reply.Summaries = n.regions.Newer(msg.Digests)
		reply.WantSummaries = n.regions.Lacking(msg.Digests)
	}
	if len(msg.WantBlobs) > 0 {
		reply.Blobs = n.blobs(msg.WantBlobs)
	}
	return reply
}

func (n *Node) blobs(wanted []string) [][]byte {
	var blobs [][]byte
	size := 0
	for _, hash := range wanted {
		data, ok := n.config.Blob(bundle.Hash(hash))
		if !ok {
			continue
		}
		if size += len(data); size > maxBlobBytes && len(blobs) > 0 {
			break
		}
		blobs = append(blobs, data)
	}
	return blobs
}

// sendWanted sends summaries that the answering peer turned out to lack.
func (n *Node) sendWanted(now time.Time, reply *peer.Message) {
	wanted := n.regions.Of(reply.WantSummaries)
	if len(wanted) == 0 {
		return
	}
	msg := n.message(now)
	msg.Summaries = wanted
	n.send(now, reply.From.VM, msg)
}

// configView lists the live members of the data centre and whom to ask.
func (n *Node) configView() configsync.View {
	self := n.opts.Self
	view := configsync.View{DataCentre: []types.VMID{self.Incarnation.VM}}
	for i := range n.view {
		m := &n.view[i]
		if m.DataCentre == self.DataCentre && (m.State == snapshot.MemberAlive || m.State == snapshot.MemberListed) {
			view.DataCentre = append(view.DataCentre, m.Incarnation.VM)
		}
	}
	if n.config.InForce() == nil {
		view.Ask = n.whomToAsk()
	}
	return view
}

// whomToAsk draws peers of the own data centre, of the own region and of others,
// so that a data centre that restarts as a whole still asks somebody who knows.
func (n *Node) whomToAsk() []types.VMID {
	const each = 2
	var near, region, far []types.VMID
	for i := range n.view {
		m := &n.view[i]
		switch {
		case m.State == snapshot.MemberLeaving:
		case m.DataCentre == n.opts.Self.DataCentre:
			near = append(near, m.Incarnation.VM)
		case m.Region == n.opts.Self.Region:
			region = append(region, m.Incarnation.VM)
		default:
			far = append(far, m.Incarnation.VM)
		}
	}
	if len(n.view) == 0 {
		far = slices.Clone(n.opts.Seeds)
	}
	var ask []types.VMID
	for _, group := range [][]types.VMID{near, region, far} {
		n.opts.Rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		ask = append(ask, group[:min(each, len(group))]...)
	}
	return ask
}

func sortedServices(view map[types.ServiceName][]*snapshot.Endpoint) []types.ServiceName {
	return slices.Sorted(maps.Keys(view))
}
