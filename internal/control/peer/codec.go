package peer

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// A frame is a 4-byte big-endian header followed by a JSON message. The header's
// highest bit is set if the message is compressed, the other bits are the length of
// the message in the frame.
const (
	headerBytes    = 4
	compressedFlag = 1 << 31
	// maxMessageBytes bounds a message before and after decompression. The largest
	// value that the platform stores is 1 MB.
	maxMessageBytes = 4 << 20
	// maxUncompressedBytes is the size up to which a message is sent uncompressed:
	// compression of smaller messages saves less than its processing costs.
	maxUncompressedBytes = 1024
)

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("peer: " + err.Error()) // only possible for an invalid level
	}
	return w
}}

// codec implements jsonrpc2.ObjectCodec and records the error that ended reading.
type codec struct {
	mu      sync.Mutex
	readErr error
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *codec) WriteObject(stream io.Writer, v any) error {
	frame, err := encodeFrame(v)
	if err != nil {
		return err
	}
	_, err = stream.Write(frame)
	return err
}

func encodeFrame(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "encode message")
	}
	if len(data) > maxMessageBytes {
		return nil, errkind.Errorf(errkind.Internal, "message of %d bytes exceeds %d", len(data), maxMessageBytes)
	}
	var buf bytes.Buffer
	buf.Grow(headerBytes + len(data))
	buf.Write(make([]byte, headerBytes))
	header := uint32(0)
	if len(data) > maxUncompressedBytes {
		compress(&buf, data)
		header = compressedFlag
	} else {
		buf.Write(data)
	}
	frame := buf.Bytes()
	binary.BigEndian.PutUint32(frame, header|uint32(len(frame)-headerBytes))
	return frame, nil
}

func compress(buf *bytes.Buffer, data []byte) {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(buf)
	_, _ = w.Write(data) // a bytes.Buffer does not fail
	_ = w.Close()
}

// ReadObject implements jsonrpc2.ObjectCodec. After an error, jsonrpc2 closes the
// connection.
func (c *codec) ReadObject(stream *bufio.Reader, v any) error {
	err := decodeFrame(stream, v)
	if err != nil {
		c.mu.Lock()
		c.readErr = err
		c.mu.Unlock()
	}
	return err
}

// readError returns the error that ended reading, or nil.
func (c *codec) readError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

func decodeFrame(stream *bufio.Reader, v any) error {
	var head [headerBytes]byte
	if _, err := io.ReadFull(stream, head[:]); err != nil {
		return err
	}
	header := binary.BigEndian.Uint32(head[:])
	size := int64(header &^ compressedFlag)
	if size > maxMessageBytes {
		return errkind.Errorf(errkind.PeerMalformed, "message of %d bytes exceeds %d", size, maxMessageBytes)
	}
	var raw bytes.Buffer // grows as bytes arrive, not by the length in the header
	if _, err := io.CopyN(&raw, stream, size); err != nil {
		return err
	}
	data := raw.Bytes()
	if header&compressedFlag != 0 {
		var err error
		if data, err = decompress(&raw); err != nil {
			return err
		}
	}
	return errkind.Wrap(json.Unmarshal(data, v), errkind.PeerMalformed, "decode message")
}

func decompress(raw io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(raw), maxMessageBytes+1))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.PeerMalformed, "decompress message")
	}
	if len(data) > maxMessageBytes {
		return nil, errkind.Errorf(errkind.PeerMalformed, "message exceeds %d bytes after decompression", maxMessageBytes)
	}
	return data, nil
}
