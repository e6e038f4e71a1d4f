package claim

// disabledGuards switches off single guards. Only the model check sets it, to show that it
// finds the double run that the guard prevents.
type disabledGuards struct {
	fence          bool // Runner.Accept: refuse epochs older than the fence
	block          bool // Runner.Status: refuse later dispatches of the attempt that was asked about
	incarnation    bool // Runner: refuse messages that were sent to another incarnation
	allReplies     bool // Owner: wait for the replies of all eligible runners
	restored       bool // Owner: count a restarted runner's list only once it is restored
	successor      bool // Owner: keep a table only after a runner's fence moved directly to the new epoch
	stepEpoch      bool // Owner: that fence must have stood at the table's own epoch
	singleHandover bool // Owner: hand a table over to one epoch only
	orphans        bool // Owner: RestoreRequest carries the keys of removed runners
}
