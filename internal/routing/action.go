package routing

// Action is what the caller of Step has to do: one of the types below.
type Action interface{ isAction() }

// StartWatch opens a Watch stream to the agent at the address. For a VM that is
// already watched it replaces the stream.
type StartWatch struct {
	VM   string
	Addr string
}

// StopWatch ends the Watch stream of a VM.
type StopWatch struct{ VM string }

// Ejected reports, for logs and metrics, that a backend server was ejected.
type Ejected struct {
	VM    string
	Cause EjectionCause
}

// Restored reports that an ejected backend server gets its full share again.
type Restored struct{ VM string }

func (StartWatch) isAction() {}
func (StopWatch) isAction()  {}
func (Ejected) isAction()    {}
func (Restored) isAction()   {}
