// Package memory decides which requests and connections a process takes on, so that what it
// holds for them stays within its memory. It needs no network.
//
// # Usage
//
//	b := &memory.Budget[domain.Account]{Limit: memory.ForCallers(processLimit)}
//	if !b.Reserve(account, memory.RequestCost+length) {
//		// refuse the request, which has not run
//	}
//	defer b.Release(account, memory.RequestCost+length)
//
// Load: a burst opens thousands of connections, or hundreds of requests with long bodies wait at
// once. Descriptors allow several times as many connections as memory does. Without a bound the
// process grows past the memory of its host and is killed, and everything that it holds ends
// without an answer. With a bound alone, one caller's long bodies fill it and all others are
// refused; so what one account may hold shrinks with what is left.
package memory

import "sync"

const (
	// ReceiveBuffer is how many bytes the kernel keeps of a connection that were received and not read.
	ReceiveBuffer = 16 << 10
	// ConnectionCost is what a caller's connection holds in bytes: its goroutine's stack, the buffers for
	// reading and writing, and what the kernel has received.
	ConnectionCost = 24<<10 + ReceiveBuffer
	// RequestCost is what a request holds in bytes besides its body: the grown stacks of its goroutines, its
	// header, and the buffers of the connection to an upstream.
	RequestCost = 48 << 10

	// headerLineCost and headerByteCost are what a line of a header and each of its bytes hold: the entries of
	// maps and slices, the strings, and the copies for an attempt and for its bytes on the wire.
	headerLineCost = 256
	headerByteCost = 4
	// headerAllowance is the part of a header's cost that ConnectionCost and RequestCost include.
	headerAllowance = 12 << 10

	// MinLimit is the least limit of a process, in bytes, with which it serves: a body of 4 MB, the bound if
	// the configuration has none, fits beside a connection and a header of 16 KB in the shortest lines.
	MinLimit = 12_000_000

	// The parts of a process's memory limit: what callers may hold, and what the garbage collector keeps
	// the heap and the stacks below. The rest is for the program's text, the state of upstreams and
	// configurations, and garbage.
	callersPart = 0.6
	runtimePart = 0.75
	// warningPart is the part of the limit at which resident memory is reported.
	warningPart = 0.8

	// connectionsPart is the part of a budget that connections may hold, so that idle connections leave
	// room for requests.
	connectionsPart = 0.6
	// accountFactor is how many times what is left one account may hold: an account that is alone gets
	// three quarters, and the next one still finds a quarter.
	accountFactor = 3
)

// ForCallers is the part of a process's limit, in bytes, that callers may hold; zero is no limit.
func ForCallers(limit int64) int64 { return part(limit, callersPart) }

// ForRuntime is the limit of the Go runtime, in bytes, in a process with the given limit.
func ForRuntime(limit int64) int64 { return part(limit, runtimePart) }

// WarningLevel is the resident memory, in bytes, from which on a process with the given limit reports it.
func WarningLevel(limit int64) int64 { return part(limit, warningPart) }

func part(limit int64, p float64) int64 { return int64(float64(limit) * p) }

// HeaderCost is what a request's header of so many bytes in so many lines holds, in bytes, beside what each
// connection and request does.
func HeaderCost(bytes, lines int64) int64 {
	return max(headerByteCost*bytes+headerLineCost*lines-headerAllowance, 0)
}

// Budget counts the bytes that are held for accounts and connections. The zero value has no limit, and
// counts. Set Limit before first use. A Budget must not be copied. It is safe for concurrent use.
type Budget[K comparable] struct {
	// Limit is the most that may be held, in bytes; zero is no limit.
	Limit int64
	// MaxConnections is the most connections that may be open; zero is no limit.
	MaxConnections int

	mu          sync.Mutex // leaf lock: no other lock is acquired while it is held
	accounts    map[K]int64
	requests    int64 // the sum of accounts
	connections int
}

// Reserve reserves bytes for an account. It reports false, and reserves nothing, if they do not fit. Release
// must be called for what was reserved.
func (b *Budget[K]) Reserve(account K, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(account, bytes)
}

// reserve is Reserve. b.mu must be held.
func (b *Budget[K]) reserve(account K, bytes int64) bool {
	left := b.Limit - b.held() - bytes
	if b.Limit > 0 && (left < 0 || b.accounts[account]+bytes > accountFactor*left) {
		return false
	}
	if b.accounts == nil {
		b.accounts = make(map[K]int64)
	}
	b.accounts[account] += bytes
	b.requests += bytes
	return true
}

// Fits reports whether an account could reserve so many bytes if nothing but its connection were held.
func (b *Budget[K]) Fits(bytes int64) bool {
	return b.Limit <= 0 || bytes <= accountFactor*(b.Limit-ConnectionCost-bytes)
}

// Release gives back bytes that Reserve reserved for an account.
func (b *Budget[K]) Release(account K, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(account, bytes)
}

// release is Release. b.mu must be held.
func (b *Budget[K]) release(account K, bytes int64) {
	b.requests -= bytes
	if b.accounts[account] -= bytes; b.accounts[account] <= 0 {
		delete(b.accounts, account)
	}
}

// OpenConnection counts a new connection. It must be followed by CloseConnection.
func (b *Budget[K]) OpenConnection() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections++
}

// CloseConnection counts a connection that has ended.
func (b *Budget[K]) CloseConnection() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections--
}

// HasRoomForConnection reports whether one more connection may be opened.
func (b *Budget[K]) HasRoomForConnection() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.MaxConnections > 0 && b.connections >= b.MaxConnections {
		return false
	}
	open := int64(b.connections+1) * ConnectionCost
	return b.Limit <= 0 || open <= part(b.Limit, connectionsPart) && open+b.requests <= b.Limit
}

// Held returns the bytes held for requests and for connections, and the number of connections.
func (b *Budget[K]) Held() (requests, connections int64, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, int64(b.connections) * ConnectionCost, b.connections
}

// held is what is held in total. b.mu must be held.
func (b *Budget[K]) held() int64 { return b.requests + int64(b.connections)*ConnectionCost }
