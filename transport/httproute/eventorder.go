package httproute

import "strconv"

// eventOrder checks the ids of a stream's events, which increase but not necessarily by one. A
// server that resumes the stream must go on after the last event: the caller could not tell an
// event that is missing or comes twice. No event may come twice within a response either.
//
// The ids alone do not tell a missing event from a larger step. While all steps within the
// responses so far were equal, a resuming server must keep that step.
type eventOrder struct {
	last    string // id of the last event that had one
	resumed bool   // the next event is the first one of a server that resumes
	step    uint64 // between the ids within the responses so far; 0 if there were none
	uneven  bool   // these steps differ
}

// resume records that another server's response follows.
func (o *eventOrder) resume() { o.resumed = o.last != "" }

// accept reports whether an event may follow, and records its id if so.
func (o *eventOrder) accept(id string) bool {
	step, rises := stepBetween(o.last, id)
	if !rises && o.isOrdered(id) {
		return false
	}
	if rises && o.resumed && !o.keepsStep(step) {
		return false
	}
	if rises && !o.resumed {
		o.recordStep(step)
	}
	o.last, o.resumed = id, false
	return true
}

// isOrdered reports whether an event with an id must have a larger one than the last event. Ids
// that are not numbers have no known order, but none may come twice. A server that resumes after a
// number must go on with one.
func (o *eventOrder) isOrdered(id string) bool {
	switch {
	case o.last == "":
		return false
	case id == o.last:
		return true
	}
	return isNumber(o.last) && (o.resumed || isNumber(id))
}

// keepsStep reports whether a resuming server may begin that far above the last event.
func (o *eventOrder) keepsStep(step uint64) bool {
	return o.uneven || o.step == 0 || step == o.step
}

func (o *eventOrder) recordStep(step uint64) {
	o.uneven = o.uneven || o.step != 0 && step != o.step
	o.step = step
}

// stepBetween returns by how much an id is above the one before it. It returns false if it is not
// above it or one of them is not a number.
func stepBetween(before, id string) (uint64, bool) {
	a, errBefore := strconv.ParseInt(before, 10, 64)
	b, err := strconv.ParseInt(id, 10, 64)
	if errBefore != nil || err != nil || b <= a {
		return 0, false
	}
	return uint64(b) - uint64(a), true // the difference of two int64 fits in 64 bits without a sign
}

func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}
