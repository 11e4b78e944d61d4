package controller

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// olderProposeArgs and olderProposeReply are ProposeArgs and ProposeReply as of commit 24f95f6.
type olderProposeArgs struct {
	Command []byte
	Timeout time.Duration
}

type olderProposeReply struct {
	Result    []byte
	NotLeader bool
	Leader    string
	Unknown   bool
	Reason    string
}

// Guards against hosts of different builds that cannot propose to each other while machines are replaced one after the other.
func TestProposalsPassBetweenBuilds(t *testing.T) {
	c := qt.New(t)
	pass := func(from, to any) {
		var b bytes.Buffer
		c.Assert(gob.NewEncoder(&b).Encode(from), qt.IsNil)
		c.Assert(gob.NewDecoder(&b).Decode(to), qt.IsNil)
	}
	var args ProposeArgs
	pass(olderProposeArgs{
		Command: []byte("x"),
		Timeout: time.Second,
	}, &args)
	c.Assert(args, qt.DeepEquals, ProposeArgs{
		Command: []byte("x"),
		Timeout: time.Second,
	})
	args.Basis = 7
	var older olderProposeArgs
	pass(args, &older)
	c.Assert(older, qt.DeepEquals, olderProposeArgs{
		Command: []byte("x"),
		Timeout: time.Second,
	})
	var reply ProposeReply
	pass(olderProposeReply{
		NotLeader: true,
		Leader:    "a",
	}, &reply)
	c.Assert(reply, qt.DeepEquals, ProposeReply{
		NotLeader: true,
		Leader:    "a",
	})
	reply.Superseded = true
	var olderReply olderProposeReply
	pass(reply, &olderReply)
	c.Assert(olderReply.NotLeader, qt.IsTrue)
}
