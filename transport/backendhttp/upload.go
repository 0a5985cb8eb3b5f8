package backendhttp

// upload is the body of a request that is written while its response is read. A nil upload was written before.
type upload struct {
	done chan struct{} // closed when err is set
	err  error
}

// startUpload writes a body in the background.
func startUpload(write func() error) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = write()
	}()
	return u
}

// wait waits until nothing of the body is written any more, and returns the error of writing it. It ends with the connection.
func (u *upload) wait() error {
	if u == nil {
		return nil
	}
	<-u.done
	return u.err
}

// written reports whether the complete body was written.
func (u *upload) written() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}
