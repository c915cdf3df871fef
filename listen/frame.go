package listen

import (
	"bytes"
	"strconv"
)

// A frame is the message framing that the head of a request declares.
type frame struct {
	// fields is the number of header fields.
	fields int
	// length is the length of the body, if it is not chunked.
	length  int64
	chunked bool
	// clear is true if the end of the body is unambiguous. net/http refuses most other
	// requests.
	clear bool
}

// parseFrame returns the frame of a request with a whole head.
func parseFrame(head []byte) frame {
	f := frame{clear: true}
	line, rest := nextLine(head)
	for len(line) == 0 && len(rest) > 0 {
		line, rest = nextLine(rest)
	}
	current := bytes.HasSuffix(line, []byte("HTTP/1.1"))
	lengths := 0
	for {
		if line, rest = nextLine(rest); len(line) == 0 {
			return f
		}
		f.fields++
		switch line[0] {
		case ' ', '\t':
			// A continued line may belong to a field that counts.
			f.clear = false
		case 'c', 'C':
			value, ok := fieldValue(line, "content-length")
			if !ok {
				continue
			}
			length, err := strconv.ParseUint(string(value), 10, 62)
			f.clear = f.clear && err == nil && lengths == 0 && !f.chunked
			f.length = int64(length)
			lengths++
		case 't', 'T':
			value, ok := fieldValue(line, "transfer-encoding")
			if !ok {
				continue
			}
			f.clear = f.clear && current && lengths == 0 && !f.chunked && bytes.EqualFold(value, []byte("chunked"))
			f.chunked = true
		}
	}
}

// nextLine returns the first line without its end, and what follows it.
func nextLine(p []byte) (line, rest []byte) {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		return nil, nil
	}
	return bytes.TrimSuffix(p[:end], []byte("\r")), p[end+1:]
}

// fieldValue returns the value of a header field if it has the name.
func fieldValue(line []byte, name string) ([]byte, bool) {
	if len(line) <= len(name) || line[len(name)] != ':' || !bytes.EqualFold(line[:len(name)], []byte(name)) {
		return nil, false
	}
	return bytes.Trim(line[len(name)+1:], " \t"), true
}

// headEnd returns the length of the head that data begins with, or -1 if its end is not there
// yet. It looks from the offset on, which is at the beginning of a line, and returns the offset
// from which to look next. begun is true if a part of the first line came before the offset.
// Empty lines before the first one do not end the head.
func headEnd(data []byte, from int, begun bool) (end, next int, begunNow bool) {
	for {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return -1, from, begun
		}
		empty := i == 0 || i == 1 && data[from] == '\r'
		first := from == 0 && begun
		from += i + 1
		if empty && begun && !first {
			return from, from, true
		}
		begun = begun || !empty
	}
}

// A chunkScanner finds the end of a chunked body, which may arrive in any pieces.
type chunkScanner struct {
	part chunkPart
	// left is the size of the chunk that is left. digits is the number of digits of its size
	// so far, and extension is true after them.
	left      int64
	digits    int
	extension bool
	// lineLength is the length of the line of the trailer so far, and fields the number of
	// lines before it.
	lineLength int
	fields     int
}

// A chunkPart is a part of a chunked body.
type chunkPart int

const (
	chunkSize chunkPart = iota
	chunkData
	chunkEnd
	trailer
)

// maxSizeDigits bounds the digits of a chunk's size so that it does not overflow.
const maxSizeDigits = 15

// scan reads data and returns how much of it belongs to the body. It is done if the body has
// ended; it is not ok if the body is malformed.
func (s *chunkScanner) scan(data []byte) (n int, done, ok bool) {
	for n < len(data) {
		if s.part == chunkData {
			k := min(s.left, int64(len(data)-n))
			n += int(k)
			if s.left -= k; s.left == 0 {
				s.part = chunkEnd
			}
			continue
		}
		b := data[n]
		n++
		switch s.part {
		case chunkSize:
			if !s.readSize(b) {
				return n, false, false
			}
		case chunkEnd:
			switch b {
			case '\r':
			case '\n':
				*s = chunkScanner{fields: s.fields}
			default:
				return n, false, false
			}
		case trailer:
			switch b {
			case '\r':
			case '\n':
				if s.lineLength == 0 {
					return n, true, true
				}
				s.fields++
				s.lineLength = 0
			default:
				s.lineLength++
			}
		}
	}
	return n, false, true
}

// readSize reads a byte of the line with a chunk's size.
func (s *chunkScanner) readSize(b byte) bool {
	digit := -1
	switch {
	case b == '\n':
		if s.digits == 0 {
			return false
		}
		s.part = chunkData
		if s.left == 0 {
			s.part = trailer
		}
		return true
	case s.extension:
		return true
	case b >= '0' && b <= '9':
		digit = int(b - '0')
	case b >= 'a' && b <= 'f':
		digit = int(b-'a') + 10
	case b >= 'A' && b <= 'F':
		digit = int(b-'A') + 10
	default:
		s.extension = true
		return true
	}
	s.digits++
	s.left = s.left<<4 | int64(digit)
	return s.digits <= maxSizeDigits
}
