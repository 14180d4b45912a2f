package intake

import "math"

// Arrivals records since when the bytes of one connection have been waiting that are not parsed yet: those that were read
// while parsing was paused, and those that lay in the socket while reading was paused. Times are in seconds on one clock.
// The zero value is ready to use.
type Arrivals struct {
	buffered []arrival // read, not parsed
	unread   []arrival // in the socket when reading was resumed, not read yet
	checked  float64   // when the socket was last known to contain the bytes of unread and no others
	unknown  bool      // the number of bytes in unread is unknown
}

// arrival is a number of bytes that arrived at the given time at the earliest.
type arrival struct {
	bytes int
	at    float64
}

// maxSeparateS is how far the arrivals of bytes may be apart that are recorded together, with the earlier time: once while
// they are unread, and once while they are not parsed.
const maxSeparateS = 0.001

// maxArrivals bounds the records for one connection; beyond it further bytes count as old as the last ones.
const maxArrivals = 256

// add appends bytes to records in the order of arrival.
func add(records []arrival, bytes int, at float64) []arrival {
	if n := len(records); n > 0 && (at-records[n-1].at < maxSeparateS || n >= maxArrivals) {
		records[n-1].bytes += bytes
		return records
	}
	return append(records, arrival{bytes, at})
}

// take removes bytes from the beginning of records. It calls f with each part of them, and returns how many
// bytes were not recorded.
func take(records *[]arrival, bytes int, f func(part arrival)) (missing int) {
	whole := 0 // records of which nothing is left
	for bytes > 0 && whole < len(*records) {
		record := &(*records)[whole]
		n := min(bytes, record.bytes)
		f(arrival{n, record.at})
		bytes -= n
		if record.bytes -= n; record.bytes == 0 {
			whole++
		}
	}
	*records = (*records)[:copy(*records, (*records)[whole:])]
	return bytes
}

// UnknownBytes is the argument of ResumeReading if it is unknown what the socket contains.
const UnknownBytes = -1

// Read records that bytes were read now, and whether the socket had more of them.
func (arr *Arrivals) Read(now float64, bytes int, more bool) {
	if len(arr.unread) > 0 {
		bytes = take(&arr.unread, bytes, func(part arrival) { arr.buffered = add(arr.buffered, part.bytes, part.at) })
	}
	if arr.unknown && !more {
		arr.unread, arr.unknown = arr.unread[:0], false
	}
	if bytes > 0 {
		arr.buffered = add(arr.buffered, bytes, now)
	}
}

// DropLast forgets the bytes that were read last: they are not kept.
func (arr *Arrivals) DropLast(bytes int) {
	for n := len(arr.buffered); n > 0 && bytes > 0; n-- {
		dropped := min(bytes, arr.buffered[n-1].bytes)
		bytes -= dropped
		if arr.buffered[n-1].bytes -= dropped; arr.buffered[n-1].bytes == 0 {
			arr.buffered = arr.buffered[:n-1]
		}
	}
}

// Parse records that bytes were parsed, and returns when the last of them had arrived at the earliest, or now if that is
// not known.
func (arr *Arrivals) Parse(now float64, bytes int) (arrivedAt float64) {
	arrivedAt = now
	if missing := take(&arr.buffered, bytes, func(part arrival) { arrivedAt = part.at }); missing > 0 {
		return now
	}
	return arrivedAt
}

// ParsedAll records that all complete commands were parsed. What is left belongs to a command whose last byte is still to come.
func (arr *Arrivals) ParsedAll() {
	if n := len(arr.buffered); n > 1 {
		total := 0
		for _, record := range arr.buffered {
			total += record.bytes
		}
		arr.buffered = append(arr.buffered[:0], arrival{total, arr.buffered[n-1].at})
	}
}

// PauseReading records that the socket is read no further from now on.
func (arr *Arrivals) PauseReading(now float64) {
	if len(arr.unread) == 0 {
		arr.checked = now
	}
}

// ResumeReading records that the socket is read again, and contains that many bytes now, or UnknownBytes.
func (arr *Arrivals) ResumeReading(now float64, unreadBytes int) {
	if unreadBytes == UnknownBytes && !arr.unknown {
		arr.unread, arr.unknown = append(arr.unread, arrival{math.MaxInt, arr.checked}), true
	}
	for _, record := range arr.unread {
		unreadBytes -= record.bytes
	}
	if unreadBytes > 0 {
		arr.unread = add(arr.unread, unreadBytes, arr.checked)
	}
	arr.checked = now
}
