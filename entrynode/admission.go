package entrynode

import (
	"wheelgauge/fairshare"
	"wheelgauge/routegate"
	"wheelgauge/waitroom"
)

// roomMemoryShare is the part of the host's memory, one in so many, that requests that wait for
// room may use.
const roomMemoryShare = 16

// openAdmission sets up the waiting room and the shares of workspaces, if they are turned on.
func (n *Node) openAdmission(g *routegate.Options) {
	o := n.options
	n.options.Log.Info("Admission when there is not room for all.", "waiting_room", o.WaitingRoom, "workspace_shares", o.WorkspaceShares)
	if o.WorkspaceShares {
		g.Shares = fairshare.New(fairshare.Options{Now: o.Clock.Now, Meter: n.meter, Log: o.Log.WithName("shares")})
	}
	if !o.WaitingRoom {
		return
	}
	n.room = waitroom.New(waitroom.Options{MaxBytes: int(o.MemoryLimit / roomMemoryShare), Now: o.Clock.Now, Meter: n.meter, Log: o.Log.WithName("room")})
	g.Room = n.room
}

// closeRoom refuses the requests that still wait.
func (n *Node) closeRoom() error {
	if n.room == nil {
		return nil
	}
	return n.room.Close()
}
