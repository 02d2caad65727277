// Package rollout carries out a release: it asks the routers, runs the operator's commands, and keeps on disk what must not be
// forgotten before it is acted on. What is to be done it asks of package release.
package rollout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"hoptiller/internal/fleet/release"
)

// ErrDriven says that another driver has the folder.
var ErrDriven = errors.New("another driver of this release runs on this machine")

// journal is a file of lines, each a checksum and a record. Only the last line can be torn, since each is on disk before the next
// one is begun; a torn one was not acted on.
type journal struct {
	f    *os.File
	lock *os.File
}

// openJournal takes a folder for this driver alone, and reads what its journal has.
func openJournal(folder string) (*journal, []release.Record, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, nil, err
	}
	lock, err := os.OpenFile(filepath.Join(folder, "driver"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, nil, ErrDriven
	}
	f, err := os.OpenFile(filepath.Join(folder, "journal"), os.O_CREATE|os.O_RDWR|os.O_SYNC, 0o644)
	if err != nil {
		lock.Close()
		return nil, nil, err
	}
	records, whole, err := readJournal(f)
	if err == nil {
		err = f.Truncate(whole)
	}
	if err == nil {
		_, err = f.Seek(whole, io.SeekStart)
	}
	if err == nil { // the names of new files must not be lost either
		err = syncFolder(folder)
	}
	if err != nil {
		lock.Close()
		f.Close()
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	return &journal{f, lock}, records, nil
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// readJournal reads whole records, and tells how many bytes they take. A torn line at the end is passed over; a spoilt one before
// others is an error: what comes after it must not be taken for all.
func readJournal(r io.Reader) (records []release.Record, whole int64, err error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, 0, err
	}
	for n := 1; len(text) > 0; n++ {
		line, rest, ended := bytes.Cut(text, []byte("\n"))
		x, ok := readRecord(line)
		if !ok || !ended {
			if len(rest) > 0 {
				return nil, 0, fmt.Errorf("line %d is spoilt", n)
			}
			return records, whole, nil
		}
		records = append(records, x)
		whole += int64(len(line)) + 1
		text = rest
	}
	return records, whole, nil
}

func readRecord(line []byte) (x release.Record, ok bool) {
	sum, text, _ := bytes.Cut(line, []byte(" "))
	if string(sum) != checksum(text) {
		return x, false
	}
	return x, json.Unmarshal(text, &x) == nil
}

func checksum(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }

// append has a record on disk when it returns.
func (j *journal) append(x *release.Record) error {
	text, err := json.Marshal(x)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(j.f, "%s %s\n", checksum(text), text) // one write
	return err
}

func (j *journal) close() {
	j.f.Close()
	j.lock.Close()
}

// Records are what a folder's journal has, without taking it.
func Records(folder string) ([]release.Record, error) {
	f, err := os.Open(filepath.Join(folder, "journal"))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	records, _, err := readJournal(f)
	return records, err
}
