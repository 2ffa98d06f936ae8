package ports

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
)

// ignoredMember is an entry of the membership list that cannot be used.
type ignoredMember struct {
	entry []byte
	err   error
}

// decodeMemberList decodes a MemberList. Each entry is decoded by itself, as one that cannot be read must not hide the others.
func decodeMemberList(data []byte) (members []Member, ignored []ignoredMember, err error) {
	entries, err := splitMembers(data)
	if err != nil {
		return nil, nil, err
	}
	for _, entry := range entries {
		m, err := decodeMember(entry)
		if err != nil {
			ignored = append(ignored, ignoredMember{entry, err})
			continue
		}
		members = append(members, m)
	}
	return members, ignored, nil
}

// decodeMember decodes an entry of the list.
func decodeMember(entry []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(entry, &m); err != nil {
		return m, err
	}
	if m.ID == "" {
		return m, errors.New("the entry has no id")
	}
	host, port, err := net.SplitHostPort(m.Address)
	if err != nil {
		return m, err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return m, fmt.Errorf("%q is no address to connect to", m.Address)
	}
	return m, nil
}

var errNoMembers = errors.New("the document has no list of members")

// splitMembers returns the entries of the array "members" without decoding them: encoding/json refuses a whole document for one value
// that is nested too deeply.
func splitMembers(data []byte) ([][]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if got, err := decoder.Token(); err != nil || got != json.Delim('{') {
		return nil, errors.Join(errNoMembers, err)
	}
	for {
		name, err := decoder.Token()
		if err != nil || name == json.Delim('}') {
			return nil, errors.Join(errNoMembers, err)
		}
		if name == "members" {
			break
		}
		var skipped json.RawMessage
		if err := decoder.Decode(&skipped); err != nil {
			return nil, errors.Join(errNoMembers, err)
		}
	}
	switch got, err := decoder.Token(); {
	case err == nil && got == nil:
		return nil, nil
	case err != nil || got != json.Delim('['):
		return nil, errors.Join(errNoMembers, err)
	}
	var entries [][]byte
	rest := data[decoder.InputOffset():]
	start, depth, inString := 0, 0, false
	for i := 0; i < len(rest); i++ {
		switch c := rest[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
		case depth > 0 && (c == '}' || c == ']'):
			depth--
		case depth == 0 && (c == ',' || c == ']'):
			if entry := bytes.TrimSpace(rest[start:i]); len(entry) > 0 {
				entries = append(entries, entry)
			}
			if c == ']' {
				return entries, nil
			}
			start = i + 1
		}
	}
	return nil, fmt.Errorf("%w: it is cut off", errNoMembers)
}
