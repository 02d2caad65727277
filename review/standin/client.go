package standin

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// answerSlack is how long after its time a request's final answer may come before the request is lost: half a second, and 50 ms
// by which every time limit is longer on sockets.
const answerSlack = 550 * time.Millisecond

// observeFor is how long after the time of a request a client goes on waiting for the answer, to tell a late one from none.
const observeFor = 15 * time.Second

var lastID atomic.Uint64

// Clients sends requests and holds their answers against the rule that each gets its final answer in time.
type Clients struct {
	World *World
	Addr  string // the router
	Quiet bool   // the answers are not held against the rule, and only their number is recorded

	// NoAnswerOnly is set if only requests that get no answer at all are held against the rule.
	NoAnswerOnly bool

	wait sync.WaitGroup
	mu   sync.Mutex
	idle []net.Conn

	Sent, Served, Refused, Failed, Lost atomic.Int64
}

// Wait waits until all requests are answered or given up.
func (c *Clients) Wait() { c.wait.Wait() }

// log writes a line on one request to the record, unless the clients are quiet.
func (c *Clients) log(format string, args ...any) {
	if !c.Quiet {
		c.World.Log(format, args...)
	}
}

// Report writes the counts to the record.
func (c *Clients) Report() {
	c.World.Log("clients: %d sent, %d served, %d refused, %d failed, %d lost", c.Sent.Load(), c.Served.Load(), c.Refused.Load(),
		c.Failed.Load(), c.Lost.Load())
}

// Send sends one request of a class, with a value of a length if it is a write, and checks its answer. It does not block.
func (c *Clients) Send(class *Class, valueLength int) {
	c.wait.Go(func() { c.request(class, valueLength) })
}

// Load sends requests at a rate for a time, in the classes' shares.
func (c *Clients) Load(classes []Class, rate float64, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		draw := rand.Float64()
		for i := range classes {
			if draw -= classes[i].ShareOfRequests; draw < 0 || i == len(classes)-1 {
				c.Send(&classes[i], 5)
				break
			}
		}
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
}

// connect returns a connection that rests or a new one. Resting ones that the router has closed are dropped.
func (c *Clients) connect() (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		conn.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
		if _, err := conn.Read(make([]byte, 1)); err != nil && strings.Contains(err.Error(), "timeout") {
			return conn, nil
		}
		conn.Close()
	}
	return net.DialTimeout("tcp", c.Addr, 3*time.Second)
}

// request sends one request and waits for its answer. A request on a resting connection that ends without any answer may have
// crossed the router's close, which the pages excuse; it is counted neither way.
func (c *Clients) request(class *Class, valueLength int) {
	id := fmt.Sprintf("%016x", lastID.Add(1)+uint64(time.Now().Unix())<<24)
	limit := class.TryFrom + time.Duration(rand.Float64()*float64(class.TryTo-class.TryFrom))
	conn, err := c.connect()
	if err != nil {
		c.World.Log("request %s not sent: %v", id, err)
		return
	}
	facts := fmt.Sprintf("c=%s,d=%d", class.Name, limit.Milliseconds())
	if class.KeyWindow > 0 {
		facts += ",k=" + id
	}
	key := fmt.Sprintf("%016x", 1+rand.Uint64()%1000)
	text := fmt.Sprintf("mg %s v O%s P%s\r\n", key, id, facts)
	if class.Write {
		text = fmt.Sprintf("ms %s %d O%s P%s\r\n%s\r\n", key, valueLength, id, facts, strings.Repeat("x", valueLength))
	}
	if _, err := io.WriteString(conn, text); err != nil {
		conn.Close()
		c.World.Log("request %s not written: %v", id, err)
		return
	}
	unacknowledged := awaitArrival(conn)
	written := time.Now()
	c.Sent.Add(1)
	c.log("request %s written: %s, %d bytes, of which the router's machine has not acknowledged %d; waits %v", id, class.Name,
		len(text), unacknowledged, limit.Round(time.Millisecond))
	conn.SetReadDeadline(written.Add(limit + observeFor))
	answer, err := readAnswer(conn)
	took := time.Since(written)
	c.log("request %s answered after %v: %q %v", id, took.Round(time.Millisecond), answer, err)
	switch late := took > limit+answerSlack; {
	case c.Quiet || c.NoAnswerOnly:
		c.count(answer, err)
	case err != nil && !late:
		c.World.Log("request %s: its connection ended; not judged", id)
	case late:
		c.Lost.Add(1)
		c.World.Broken("request %s (%s) was written completely, waited %v and has no final answer %v later; %q came after %v", id, class.Name,
			limit.Round(time.Millisecond), answerSlack, answer, took.Round(time.Millisecond))
	default:
		c.count(answer, err)
	}
	if err != nil {
		conn.Close()
		return
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
}

// awaitArrival waits until the router's machine has acknowledged all that was written, 0.2 s at most. It returns how many bytes
// it has not acknowledged.
func awaitArrival(conn net.Conn) (unacknowledged int) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return -1
	}
	for range 200 {
		unacknowledged = -1
		raw.Control(func(fd uintptr) {
			if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
				unacknowledged = n
			}
		})
		if unacknowledged <= 0 {
			return unacknowledged
		}
		time.Sleep(time.Millisecond)
	}
	return unacknowledged
}

// readAnswer reads one answer and returns its first line.
func readAnswer(conn net.Conn) (line string, err error) {
	reader := bufio.NewReader(conn)
	if line, err = reader.ReadString('\n'); err != nil {
		return line, err
	}
	line = strings.TrimSpace(line)
	if words := strings.Fields(line); len(words) > 1 && words[0] == "VA" {
		length, _ := strconv.Atoi(words[1])
		_, err = reader.Discard(length + 2)
	}
	return line, err
}

// Write sends a write in pieces that spread over a time, as a client with a slow connection does, and reads the answer. It begins
// at a drawn time within beginWithin. It does not block.
func (c *Clients) Write(class *Class, valueLength int, beginWithin, over time.Duration) {
	c.wait.Go(func() {
		time.Sleep(time.Duration(rand.Float64() * float64(beginWithin)))
		c.write(class, valueLength, over)
	})
}

const writePieces = 32

func (c *Clients) write(class *Class, valueLength int, over time.Duration) {
	id := fmt.Sprintf("%016x", lastID.Add(1)+uint64(time.Now().Unix())<<24)
	conn, err := net.DialTimeout("tcp", c.Addr, 3*time.Second)
	if err != nil {
		c.World.Log("write %s not sent: %v", id, err)
		return
	}
	defer conn.Close()
	limit := class.TryTo
	text := fmt.Sprintf("ms %016x %d O%s Pc=%s,d=%d,k=%s\r\n%s\r\n", 1+rand.Uint64()%1000, valueLength, id, class.Name,
		limit.Milliseconds(), id, strings.Repeat("y", valueLength))
	c.log("write %s begins: %d bytes over %v", id, len(text), over.Round(time.Millisecond))
	conn.SetDeadline(time.Now().Add(over + 30*time.Second))
	piece := len(text)/writePieces + 1
	for rest := text; rest != ""; {
		n := min(piece, len(rest))
		if _, err := io.WriteString(conn, rest[:n]); err != nil {
			c.World.Log("write %s was cut off: %v", id, err)
			return
		}
		rest = rest[n:]
		time.Sleep(over / writePieces)
	}
	c.Sent.Add(1)
	c.log("write %s written", id)
	answer, err := readAnswer(conn)
	c.log("write %s answered: %q %v", id, answer, err)
	c.count(answer, err)
}

// count counts a request by its answer.
func (c *Clients) count(answer string, err error) {
	switch {
	case err != nil:
		c.Lost.Add(1)
	case strings.HasPrefix(answer, "SERVER_ERROR busy"):
		c.Refused.Add(1)
	case strings.HasPrefix(answer, "VA "), strings.HasPrefix(answer, "HD "):
		c.Served.Add(1)
	default:
		c.Failed.Add(1)
	}
}
