package memory

// A Plan says how the memory of a process is divided, in bytes.
type Plan struct {
	// Clients is the bound of the account of what clients make the process hold.
	Clients int64
	// Runtime is the soft memory limit of the Go runtime. Near it the garbage collector runs
	// more often, which slows allocation even if the account is wrong.
	Runtime int64
}

const (
	// restBytes is what the rest of the process needs: 20 MB of code, the state of the node and
	// its connections to upstreams. In a small process it is at most half of the memory.
	restBytes = 32 << 20
	// clientPercent is the part of what is left that clients may hold. The rest is for memory
	// that is free but not collected yet, and for what the account leaves out.
	clientPercent = 45
	// uncollectedPercent is what the runtime may hold in addition to the memory of clients, in
	// percent of that, and heapPercent the part of the rest of the process that is on the heap.
	uncollectedPercent = 25
	heapPercent        = 75
)

// Divide returns the plan of a process with the given memory.
func Divide(total int64) Plan {
	rest := min(restBytes, total/2)
	clients := (total - rest) * clientPercent / 100
	return Plan{Clients: clients, Runtime: rest*heapPercent/100 + clients*(100+uncollectedPercent)/100}
}
