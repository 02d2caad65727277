// Package rollout carries out a release: it queries the routers, runs the operator's commands, and writes each decision that must
// survive a crash to a journal on disk before it acts on the decision. Package release makes the decisions.
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

// ErrDriverRunning is returned if another driver has locked the release's folder.
var ErrDriverRunning = errors.New("another driver of this release runs on this machine")

// journal is an open file of lines, each with a checksum and a record. Each line is on disk before the next one is written, so
// only the last line can be torn. The record of a torn line was not acted on.
type journal struct {
	file     *os.File
	lockFile *os.File // its lock keeps other drivers out
}

// openJournal locks a folder for this driver and reads the records of its journal.
func openJournal(folder string) (*journal, []release.Record, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, nil, err
	}
	lockFile, err := os.OpenFile(filepath.Join(folder, "driver"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, nil, err
	}
	if err := syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lockFile.Close()
		return nil, nil, ErrDriverRunning
	}
	file, err := os.OpenFile(filepath.Join(folder, "journal"), os.O_CREATE|os.O_RDWR|os.O_SYNC, 0o644)
	if err != nil {
		lockFile.Close()
		return nil, nil, err
	}
	records, completeBytes, err := readJournal(file)
	if err == nil {
		err = file.Truncate(completeBytes)
	}
	if err == nil {
		_, err = file.Seek(completeBytes, io.SeekStart)
	}
	if err == nil { // a crash must not lose the directory entries of new files either
		err = syncFolder(folder)
	}
	if err != nil {
		lockFile.Close()
		file.Close()
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	return &journal{file, lockFile}, records, nil
}

// syncFolder flushes the entries of a folder to disk.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// readJournal reads the complete records, and returns how many bytes they take. It skips a torn line at the end. A corrupt line
// before other lines is an error, because the records without the corrupt one must not pass for the complete journal.
func readJournal(r io.Reader) (records []release.Record, completeBytes int64, err error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, 0, err
	}
	for n := 1; len(text) > 0; n++ {
		line, rest, terminated := bytes.Cut(text, []byte("\n"))
		record, ok := parseRecord(line)
		if !ok || !terminated {
			if len(rest) > 0 {
				return nil, 0, fmt.Errorf("line %d is spoilt", n)
			}
			return records, completeBytes, nil
		}
		records = append(records, record)
		completeBytes += int64(len(line)) + 1
		text = rest
	}
	return records, completeBytes, nil
}

// parseRecord parses one line without its newline. ok reports whether the checksum and the record are valid.
func parseRecord(line []byte) (record release.Record, ok bool) {
	storedSum, text, _ := bytes.Cut(line, []byte(" "))
	if string(storedSum) != checksum(text) {
		return record, false
	}
	return record, json.Unmarshal(text, &record) == nil
}

// checksum returns the hash of a record as hexadecimal digits.
func checksum(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }

// append writes a record, which is on disk when append returns.
func (j *journal) append(record *release.Record) error {
	text, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(j.file, "%s %s\n", checksum(text), text) // a single write call
	return err
}

// close closes the journal and unlocks the folder.
func (j *journal) close() {
	j.file.Close()
	j.lockFile.Close()
}

// ReadRecords reads the records of a folder's journal without locking the folder.
func ReadRecords(folder string) ([]release.Record, error) {
	file, err := os.Open(filepath.Join(folder, "journal"))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	records, _, err := readJournal(file)
	return records, err
}
