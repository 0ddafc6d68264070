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

// maxBlobBytes bounds the total size of the blobs in one reply; the first blob is
// included whatever its size. The peer requests the remaining blobs again.
const maxBlobBytes = 900_000

// message returns a message with the fields that every message carries.
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

// heartbeat returns a message that also starts an exchange of region summaries: it
// carries the digests of those that this daemon holds.
func (n *Node) heartbeat(now time.Time) *peer.Message {
	msg := n.message(now)
	msg.Exchange, msg.Digests = true, n.regions.Digests()
	return msg
}

// handlePeerMessage applies a message from another daemon. It replies unless the
// message is itself a reply.
func (n *Node) handlePeerMessage(e event.PeerMessage) {
	msg, now := e.Message, e.At
	n.recordSender(now, msg)
	n.updateList(now, msg)
	n.regions.Merge(now, msg.Summaries)
	n.mergeEndpointSigns(now, msg.Endpoints)
	if n.opts.Quarantine != nil && n.opts.Quarantine.Merge(now, msg.Crashes) {
		n.dirty = true
	}
	if e.Reply {
		n.sendWantedSummaries(now, msg)
		return
	}
	n.out.Reply = n.buildReply(now, msg)
}

// mergeEndpointSigns applies reports that endpoints are leaving. If any of them was
// unknown, it is gossiped at once instead of with the next heartbeat.
func (n *Node) mergeEndpointSigns(now time.Time, signs []peer.EndpointLeaving) {
	changed := false
	for _, sign := range signs {
		changed = n.endpoints.MarkLeaving(now, sign.SeenAt, sign.Endpoint) || changed
	}
	if changed {
		n.pushToPeers(now)
	}
}

func (n *Node) recordSender(now time.Time, msg *peer.Message) {
	n.members.HandleMessage(now, msg)
	holder := configsync.Holder{VM: msg.From.VM, Region: msg.Region, DataCentre: msg.DataCentre, Revision: msg.Revision}
	n.config.RecordPeer(now, holder, msg.ManifestHash, msg.Established)
	n.config.HandleResponse(now, msg.From.VM, msg.Manifest, msg.Blobs)
	n.recordRefresh(msg)
}

// updateList applies the VM list or the change in a message. If the sender's list is
// still newer than the local one, it requests that list.
func (n *Node) updateList(now time.Time, msg *peer.Message) {
	if n.list.Apply(msg.ListChange) || n.list.Set(msg.Listing) {
		n.distributeList(now)
	}
	if msg.ListVersion <= n.list.Version() || now.Before(n.listReads.nextQuery) {
		return
	}
	n.listReads.nextQuery = now.Add(listQueryInterval)
	query := n.message(now)
	query.WantList = true
	n.send(now, msg.From.VM, query)
}

// buildReply returns the reply to a message, with the data that the message requests.
func (n *Node) buildReply(now time.Time, msg *peer.Message) *peer.Message {
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
		reply.WantSummaries = n.regions.OutdatedRegions(msg.Digests)
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

// sendWantedSummaries sends the summaries that the peer requested in its reply.
func (n *Node) sendWantedSummaries(now time.Time, reply *peer.Message) {
	wanted := n.regions.SummariesOf(reply.WantSummaries)
	if len(wanted) == 0 {
		return
	}
	msg := n.message(now)
	msg.Summaries = wanted
	n.send(now, reply.From.VM, msg)
}

// configView lists the live members of the data centre. While no configuration is in
// force, it also lists the peers to query for one.
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
		view.QueryTargets = n.queryTargets()
	}
	return view
}

// queryTargets picks random peers from the local data centre, from the rest of the
// local region and from other regions. If a whole data centre restarts, its daemons
// therefore still query peers that hold the current state.
func (n *Node) queryTargets() []types.VMID {
	const perGroup = 2
	var sameDataCentre, sameRegion, otherRegions []types.VMID
	for i := range n.view {
		m := &n.view[i]
		switch {
		case m.State == snapshot.MemberLeaving:
		case m.DataCentre == n.opts.Self.DataCentre:
			sameDataCentre = append(sameDataCentre, m.Incarnation.VM)
		case m.Region == n.opts.Self.Region:
			sameRegion = append(sameRegion, m.Incarnation.VM)
		default:
			otherRegions = append(otherRegions, m.Incarnation.VM)
		}
	}
	if len(n.view) == 0 {
		otherRegions = slices.Clone(n.opts.Seeds)
	}
	var targets []types.VMID
	for _, group := range [][]types.VMID{sameDataCentre, sameRegion, otherRegions} {
		n.opts.Rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		targets = append(targets, group[:min(perGroup, len(group))]...)
	}
	return targets
}

func sortedServices(view map[types.ServiceName][]*snapshot.Endpoint) []types.ServiceName {
	return slices.Sorted(maps.Keys(view))
}
