package conns

// MaxHeaderBytes bounds the header of a request on each listener, in bytes. The limit that a
// configuration states is lower and meant for callers that observe it.
const MaxHeaderBytes = 64 << 10
