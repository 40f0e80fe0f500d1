package serverconn

import "wheelgauge/delivery"

// WriteWhole is the WriteState of a request that was written without an error.
const WriteWhole = "whole"

// upload is a request that is written while its response is read.
type upload struct {
	// done is closed once err is set.
	done chan struct{}
	err  error
}

// startUpload writes the request in the background. The deadline of the connection bounds it.
func (c *Conn) startUpload(request []byte) {
	u := &upload{done: make(chan struct{})}
	c.upload = u
	go func() {
		defer close(u.done)
		_, u.err = c.net.Write(request)
	}()
}

// ended reports whether the write has ended, and its error.
func (u *upload) ended() (bool, error) {
	select {
	case <-u.done:
		return true, u.err
	default:
		return false, nil
	}
}

// awaitDelivery returns nil once the server, which has ended its side of the connection, has got the
// whole request.
func (c *Conn) awaitDelivery() error {
	if c.upload == nil {
		return delivery.Await(c.net, nil)
	}
	err := delivery.Await(c.net, c.upload.done)
	if _, writeErr := c.upload.ended(); writeErr != nil {
		return writeErr
	}
	return err
}

// WriteState tells how far the last request has been written: WriteWhole, "under way", or the error of
// the write.
func (c *Conn) WriteState() string {
	if c.upload == nil {
		return WriteWhole
	}
	switch ended, err := c.upload.ended(); {
	case !ended:
		return "under way"
	case err != nil:
		return err.Error()
	}
	return WriteWhole
}
