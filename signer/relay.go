package signer

// The headers of requests that an entry host passes to another one in direct dispatch.
const (
	// HeaderID carries a random identity of the request between hosts, which the answer repeats.
	HeaderID = "Bramleyline-Request"
	// HeaderAge is the time in milliseconds since the caller's request reached the first host.
	HeaderAge = "Bramleyline-Relay-Age"
	// HeaderSignature signs method, host, URI, body and the two headers above.
	HeaderSignature = "Bramleyline-Signature"
	// HeaderLinks is in the answer of a host that did not run the request, mostly since it has no links to targets either.
	HeaderLinks = "Bramleyline-Relay-Links"
	// StatusPath is the path at which a host answers 204 if it has links to targets. It is no path of a caller, since paths
	// begin with a slash.
	StatusPath = "*"
)
