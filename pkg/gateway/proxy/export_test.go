package proxy

// ReservedBodyBytes returns how much memory is reserved for bodies, in bytes.
func (h *Handler) ReservedBodyBytes() int64 {
	return h.opts.Bodies.Usage().Bytes
}
