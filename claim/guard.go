package claim

// disabled switches single guards off. Only the model check sets it, to show
// that it finds the double run that the guard prevents.
type disabled struct {
	fence     bool // Runner.Accept: refuse epochs below the fence
	refusal   bool // Runner.Status: refuse the asked try from now on
	address   bool // Runner: refuse what was sent to another incarnation
	view      bool // Owner: wait for all eligible runners
	vouched   bool // Owner: a restarted runner's list counts only once restored
	successor bool // Owner: a table goes on only after a runner's direct step
	before    bool // Owner: the step must start at the table's own epoch
	heir      bool // Owner: a table is handed to one epoch only
	orphans   bool // Owner: Restore carries the keys of runners that left
}
