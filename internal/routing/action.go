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

// SetAside reports, for logs and metrics, that a backend server was ejected.
type SetAside struct {
	VM    string
	Cause EjectionCause
}

// PutBack reports that an ejected backend server gets its full share again.
type PutBack struct{ VM string }

func (StartWatch) isAction() {}
func (StopWatch) isAction()  {}
func (SetAside) isAction()   {}
func (PutBack) isAction()    {}
