package overload_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// The settings of the VMs under test. The memory is below that of the smallest VM in use
// (144 MB), since a VM without load needs less memory than one that leads a fleet.
var (
	fewDescriptors = limits{memoryMB: 96, descriptors: 400}
	littleMemory   = limits{memoryMB: 96, descriptors: 1000}
)

const (
	callerCount = 300
	// bodyBytes is the largest size of a body, limits.bodyBytes.
	bodyBytes = 262144
	// longHeadBytes is far beyond limits.headerBytes, 16,384.
	longHeadBytes = 960_000
	// pieceBytes is the size of a piece of what is sent piece by piece.
	pieceBytes = 4096
	// Of the callers of each kind, one of completeShare sends its body to the end; the others
	// stop short of it. There are bodyKinds kinds.
	completeShare = 10
	bodyKinds     = 4
)

const ordinaryBody = `{"spec":"text","steps":[{"count":1,"cpu":500,"memMb":64,"estimateMs":100}]}`

// crowd is a set of callers with one connection each.
type crowd struct{ connections []net.Conn }

// newCrowd opens the connections. They are closed with the test.
func newCrowd(t *testing.T, p *process) *crowd {
	c := &crowd{}
	for range callerCount {
		n, err := net.DialTimeout("tcp", p.front.String(), testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		_ = n.SetDeadline(time.Now().Add(testTimeout))
		c.connections = append(c.connections, n)
	}
	return c
}

// each calls send for all callers at once and waits until all calls have returned. A caller
// whose connection the VM closes stops sending.
func (c *crowd) each(send func(number int, w io.Writer)) {
	var group sync.WaitGroup
	for i, n := range c.connections {
		group.Go(func() { send(i, n) })
	}
	group.Wait()
}

// sendPieces sends data in pieces of the given size.
func sendPieces(w io.Writer, data []byte, size int) {
	for len(data) > 0 {
		n := min(size, len(data))
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
}

// checkAfter checks the process while all callers that it has not cut off stay connected.
func checkAfter(t *testing.T, p *process, id int) {
	p.awaitRead()
	p.awaitStatus(t, "POST", fmt.Sprintf("%s%016x", queuePrefix, id), []byte(ordinaryBody), 200)
	p.check(t)
}

// requestHead returns the head of a submission, without its end.
func requestHead(number int, header string) []byte {
	return fmt.Appendf(nil, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 3000\r\n%s", queuePrefix, 0x1000+number, queueHost, header)
}

// longHead is the start of a header field that is far too long.
var longHead = "Padding: " + strings.Repeat("x", longHeadBytes)

// smallestVM has the limits of the smallest VMs in use.
var smallestVM = limits{memoryMB: 144, descriptors: 3075}

// The limits must not touch callers that send the largest head, body and spec that are allowed,
// several of them at once.
func TestRequestsWithinTheLimits(t *testing.T) {
	const headBytes, specBytes, callers = 16384, 4000, 8
	p := startProcess(t, smallestVM)
	job := `{"spec":"` + strings.Repeat("x", specBytes) + `","steps":[{"count":1,"cpu":500}]`
	body := []byte(job + strings.Repeat(" ", bodyBytes-len(job)-1) + "}")
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			head := requestHead(i, fmt.Sprintf("Content-Length: %d\r\nPadding: ", len(body)))
			encoded := body
			if i%2 == 1 {
				head = requestHead(i, "Transfer-Encoding: chunked\r\nPadding: ")
				encoded = chunked(body, 1000)
			}
			const end = "\r\n\r\n"
			head = append(head, strings.Repeat("x", headBytes-len(head)-len(end))+end...)
			n, err := net.DialTimeout("tcp", p.front.String(), testTimeout)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = n.Close() }()
			_ = n.SetDeadline(time.Now().Add(testTimeout))
			sendPieces(n, append(head, encoded...), 16*pieceBytes)
			response, err := http.ReadResponse(bufio.NewReader(n), nil)
			if err != nil {
				t.Error(err)
				return
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				t.Error(response.Status)
			}
		})
	}
	group.Wait()
	p.check(t)
}

// Heads over the limit were kept in memory up to 1 MB each.
func TestHeadsOverTheLimit(t *testing.T) {
	p := startProcess(t, fewDescriptors)
	c := newCrowd(t, p)
	c.each(func(i int, w io.Writer) { sendPieces(w, requestHead(i, longHead), longHeadBytes) })
	p.awaitRead()
	c.each(func(_ int, w io.Writer) { _, _ = io.WriteString(w, "\r\nContent-Length: 0\r\n\r\n") })
	checkAfter(t, p, 1)
}

// Heads that never end were kept in memory for 10 s.
func TestHeadsWithoutEnd(t *testing.T) {
	p := startProcess(t, fewDescriptors)
	c := newCrowd(t, p)
	c.each(func(i int, w io.Writer) { sendPieces(w, requestHead(i, longHead), pieceBytes) })
	checkAfter(t, p, 2)
}

// Empty lines before a request must not be read without end.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	p := startProcess(t, fewDescriptors)
	c := newCrowd(t, p)
	lines := bytes.Repeat([]byte("\r\n"), longHeadBytes/2)
	c.each(func(i int, w io.Writer) {
		if i%2 == 0 {
			sendPieces(w, lines, pieceBytes)
			return
		}
		// The lines come after a request on the same connection.
		sendPieces(w, append(requestHead(i, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(ordinaryBody))), ordinaryBody...), pieceBytes)
		sendPieces(w, lines, pieceBytes)
	})
	checkAfter(t, p, 3)
}

// largeBodies are bodies of the largest legal size: one long string, and as many steps as
// the size allows, which take far more memory when decoded.
var largeBodies = [][]byte{
	[]byte(`{"steps":[{"count":1,"image":"` + strings.Repeat("x", bodyBytes-len(`{"steps":[{"count":1,"image":"`)-len(`"}]}`)) + `"}]}`),
	[]byte(`{"steps":[{}` + strings.Repeat(",{}", (bodyBytes-len(`{"steps":[{}]}`))/3) + `]}`),
}

// sentPart returns the part of a body that a caller sends: most stop just short of the end.
func sentPart(number int, body []byte, shortBy int) []byte {
	if number/bodyKinds%completeShare == 0 {
		return body
	}
	return body[:len(body)-shortBy]
}

// Bodies were read and decoded without a limit on the memory of all of them together.
func TestLargeBodies(t *testing.T) {
	p := startProcess(t, littleMemory)
	c := newCrowd(t, p)
	c.each(func(i int, w io.Writer) {
		body := largeBodies[i/2%len(largeBodies)]
		size := len(body)
		if i%2 == 1 {
			size = pieceBytes
		}
		sendPieces(w, requestHead(i, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), pieceBytes)
		sendPieces(w, sentPart(i, body, 1), size)
	})
	checkAfter(t, p, 4)
}

// chunked encodes a body in chunks of the given size.
func chunked(body []byte, size int) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// Chunked bodies tell no size in advance.
func TestChunkedBodies(t *testing.T) {
	p := startProcess(t, littleMemory)
	c := newCrowd(t, p)
	var encoded [][]byte
	for _, body := range largeBodies {
		encoded = append(encoded, chunked(body, 32<<10), chunked(body, 1))
	}
	c.each(func(i int, w io.Writer) {
		sendPieces(w, requestHead(i, "Transfer-Encoding: chunked\r\n\r\n"), pieceBytes)
		sendPieces(w, sentPart(i, encoded[i%len(encoded)], len("0\r\n\r\n")), 16*pieceBytes)
	})
	checkAfter(t, p, 5)
}
