package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/viewer"
)

// The headers that testCodec exchanges with callers and targets.
const (
	testRequest  = "Bramleyline-Request"
	testDeadline = "Bramleyline-Deadline"
	testTarget   = "Bramleyline-Target"
	testKey      = "Bramleyline-Key"
	testOutcome  = "Bramleyline-Outcome"
	testBusy     = "Bramleyline-Busy"
	testLimit    = "Bramleyline-Limit"
)

// testCodec is a Codec for the test headers.
type testCodec struct{}

func (testCodec) Call(h http.Header) (Call, error) {
	c := Call{
		ID: h.Get(testRequest),
	}
	if v := h.Get(testDeadline); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil {
			return c, err
		}
		c.CallerTimeout = time.Duration(ms) * time.Millisecond
	}
	if v := h.Get(testKey); v != "" {
		key, err := strconv.ParseUint(v, 10, 16)
		if err != nil {
			return c, err
		}
		c.Key, c.HasKey = uint16(key), true
	}
	return c, nil
}

func (testCodec) Fields(_ Call, t *viewer.Target, left time.Duration) []sender.Field {
	return []sender.Field{
		{
			Name:  testTarget,
			Value: t.ID,
		},
		{
			Name:  testDeadline,
			Value: strconv.FormatInt(left.Milliseconds(), 10),
		},
	}
}

func (testCodec) Own(name string) bool {
	return name == testDeadline || name == testTarget
}

func (testCodec) Reply(status int, h http.Header) Reply {
	r := Reply{
		Misdirected: status == http.StatusMisdirectedRequest,
	}
	r.NotRun = r.Misdirected || h.Get(testOutcome) == "notRun"
	if v := h.Get(testBusy); v != "" {
		busy, _ := strconv.Atoi(v)
		r.Load = &selector.Load{
			Running: busy,
			Slots:   4,
		}
	}
	if n, err := strconv.ParseFloat(h.Get(testLimit), 64); err == nil {
		r.Limit = &n
	}
	return r
}

func (testCodec) Healthy(id string, status int, h http.Header) bool {
	return status == http.StatusOK && h.Get(testTarget) == id
}

func (testCodec) EchoHeader() string {
	return testRequest
}
