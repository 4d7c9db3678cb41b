package routing

// Action is what a step asks of its caller.
type Action interface{ isAction() }

// StartWatch asks for a Watch stream to the agent at the address. For a VM
// watched already it replaces the stream.
type StartWatch struct {
	VM   string
	Addr string
}

// StopWatch ends the Watch stream of a VM.
type StopWatch struct{ VM string }

// SetAside tells, for logs and metrics, that a backend server gets no more
// requests for a while.
type SetAside struct {
	VM    string
	Cause AsideCause
}

// PutBack tells that a backend server set aside gets its full share again.
type PutBack struct{ VM string }

func (StartWatch) isAction() {}
func (StopWatch) isAction()  {}
func (SetAside) isAction()   {}
func (PutBack) isAction()    {}
