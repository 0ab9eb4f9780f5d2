package front

// Held is what callers make this VM hold now, and how often one was turned away for that.
type Held struct {
	Conns                int   // open connections of callers
	HeadBytes, BodyBytes int64 // memory of heads and bodies that is counted
	Dropped              int64 // see Dropped

	ConnsEvicted, ConnsRefused   int64 // connections closed for others, and for lack of room
	HeadsRefused, LongHeads      int64 // heads for which there was no room, and that were far too long
	BodiesRefused, BodiesGaveWay int64 // bodies for which there was no room, and that ended for others
}

// TurnedAway returns how often a caller was turned away.
func (h *Held) TurnedAway() int64 {
	return h.ConnsEvicted + h.ConnsRefused + h.HeadsRefused + h.LongHeads + h.BodiesRefused + h.BodiesGaveWay
}

// Held returns what callers make this VM hold.
func (f *Front) Held() Held {
	h := Held{BodyBytes: f.Bodies.Used(), BodiesRefused: f.Bodies.Refused(), BodiesGaveWay: f.Bodies.Evicted()}
	if r := f.pipeline.Load(); r != nil {
		h.Conns, h.HeadBytes, h.Dropped = r.Conns(), r.Heads.Used(), r.Dropped()
		h.ConnsEvicted, h.ConnsRefused = r.Evicted(), r.Refused()
		h.HeadsRefused, h.LongHeads = r.Heads.Refused(), r.LongHeads()
	}
	return h
}
