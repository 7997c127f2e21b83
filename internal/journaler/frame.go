package journaler

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"
)

// A frame consists of a magic number, the length of the payload, the CRC-32C
// checksum of the payload, and the payload. Numbers are big endian.
const (
	frameHeaderSize = 12
	lengthOffset    = 4
	checksumOffset  = 8
	// maxFramePayload is the maximum length of a payload, in bytes. A frame with a
	// longer one counts as damaged.
	maxFramePayload = 1 << 30
)

var (
	frameMagic = []byte{0xf5, 'S', 'W', '1'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	errNoFrame = errors.New("incomplete or damaged frame")
)

func encodeFrame(content any) ([]byte, error) {
	payload, err := json.Marshal(content)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, frameHeaderSize, frameHeaderSize+len(payload))
	copy(frame, frameMagic)
	binary.BigEndian.PutUint32(frame[lengthOffset:], uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[checksumOffset:], crc32.Checksum(payload, castagnoli))
	return append(frame, payload...), nil
}

// readFrame returns the payload of the frame at the start of data, and the bytes
// after it. It returns errNoFrame if data does not start with a complete and
// undamaged frame.
func readFrame(data []byte) (payload, rest []byte, err error) {
	if len(data) < frameHeaderSize || !bytes.HasPrefix(data, frameMagic) {
		return nil, nil, errNoFrame
	}
	length := binary.BigEndian.Uint32(data[lengthOffset:])
	if length > maxFramePayload || int(length) > len(data)-frameHeaderSize {
		return nil, nil, errNoFrame
	}
	payload = data[frameHeaderSize : frameHeaderSize+int(length)]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[checksumOffset:]) {
		return nil, nil, errNoFrame
	}
	return payload, data[frameHeaderSize+int(length):], nil
}

// containsFrame reports whether a complete and undamaged frame starts anywhere in
// data.
func containsFrame(data []byte) bool {
	for {
		start := bytes.Index(data, frameMagic)
		if start < 0 {
			return false
		}
		data = data[start:]
		if _, _, err := readFrame(data); err == nil {
			return true
		}
		data = data[1:]
	}
}
