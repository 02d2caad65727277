package hoptiller

// statusCount is the number of Status values.
const statusCount = int(Unconfirmed) + 1

var statusNames = [statusCount]string{
	OK: "ok", ServerError: "server_error", TurnedAway: "turned_away", Timeout: "timeout", ConnectFailed: "connect_failed",
	Reset: "reset", Cancelled: "cancelled", NotSent: "not_sent", Miss: "miss",
	Unconfirmed: "unconfirmed",
}

// String returns the name of the status in logs and metrics.
func (s Status) String() string { return statusNames[s] }

// StatusNames returns the names of all statuses, in the order of their values.
func StatusNames() []string { return append([]string(nil), statusNames[:]...) }
