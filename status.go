package hoptiller

// statusCount is the number of ways in which an attempt can end.
const statusCount = int(Miss) + 1

var statusNames = [statusCount]string{
	OK: "ok", ServerError: "server_error", Full: "turned_away", Timeout: "timeout", ConnectFailed: "connect_failed",
	Reset: "reset", Cancelled: "cancelled", Moot: "not_sent", Miss: "miss",
}

// String returns the status as it is written in the log and the metrics.
func (s Status) String() string { return statusNames[s] }

// StatusNames returns the names of all statuses, in their order.
func StatusNames() []string { return append([]string(nil), statusNames[:]...) }
