package rawanswers

import (
	"fmt"
	"net"
)

// CutUpload is a request whose client ends the connection before its upload is whole.
type CutUpload struct {
	Name string
	body string // With the field that frames it.
	end  func(conn *net.TCPConn)
}

// CutUploads returns uploads with a length and in chunks, cut in several places, by each way to end a connection.
func CutUploads() []CutUpload {
	var all []CutUpload
	for place, body := range map[string]string{
		"before a body of a length":  "Content-Length: 10\r\n\r\n",
		"in a body of a length":      "Content-Length: 10\r\n\r\npart",
		"before the first chunk":     "Transfer-Encoding: chunked\r\n\r\n",
		"in a chunk":                 "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n6\r\npa",
		"between chunks":             "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"in the last chunk":          "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0",
		"before the end of trailers": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
	} {
		for how, end := range map[string]func(conn *net.TCPConn){
			"close": func(conn *net.TCPConn) { _ = conn.Close() },
			"reset": reset,
			"half":  func(conn *net.TCPConn) { _ = conn.CloseWrite() },
		} {
			all = append(all, CutUpload{Name: place + ", " + how, body: body, end: end})
		}
	}
	return all
}

// Send sends the upload with the start of its head on the connection and ends that. Each line of the start has its line break.
func (c CutUpload) Send(conn *net.TCPConn, start string) {
	_, _ = fmt.Fprint(conn, start, c.body)
	c.end(conn)
}
