#include "program/operator_schema.hpp"

namespace ashbeam {

namespace {

constexpr std::string_view kSchema =
    R"cue(// What an operator's file may say. Spans are strings: "250ms", "5s", "10m", "24h".
#File: {
	calling?: #Calling // who is calling: tokens, certificates, rights, quotas
	tls?:     #Tls     // a second listener, with TLS
	metadata?: #Metadata // signed update metadata, checked in flight
}

// Rates are of all routers together.
#Limit: {
	per_s?:   number & >0 & <=1000000   // requests a second
	burst:    *1 | (number & >=1 & <=1000000)
	in_hand?: int & >=1 & <=1000000     // requests at once
}

#Subject: {
	name:         string & !="" // or the beginning of names, with a * behind
	path_groups?: [...string]   // all that its tenant may, if not given
	limit?:       #Limit        // the tenant's `each`, if not given
}

#Tenant: {
	name:          string & !="" // as in X-Account and in its tokens
	issuer?:       string        // of its tokens: the common one, if not given
	organisation?: string        // O of its certificates: its name, if not given
	path_groups?:  [...string]   // all, if not given
	limit?:        #Limit        // its subjects together
	each?:         #Limit        // each of its subjects
	only_listed:   *false | bool // subjects that are not listed have no rights
	subjects:      [...#Subject]
}

#Tokens: {
	keys:     string & !=""           // a folder of JWKS files
	reread:   *"1s" | (span & >="100ms" & <="1h") // how often it is looked at; SIGHUP does it at once
	issuer:   *"" | string            // "" takes any
	audience: *"" | string
	tenant_claim: *"tenant" | string
	leeway:   *"30s" | (span & <="10m") // between the issuer's clock and ours
	overlap:  *"60s" | (span & <="24h") // how long a retiring key still verifies
	longest:  *"24h" | (span & >="1s" & <="720h") // from a token's issue to its expiry
	cached:   *8192 | (int & >=16 & <=1000000)
	verifications_per_s: *2000 | (number & >=1 & <=100000)
	go_on:    *false | bool           // endpoints see the token, too
}

#Calling: {
	prove:    *"optional" | "required"
	tokens?:  #Tokens
	tenants:  [...#Tenant]
	subjects: *65536 | (int & >=64 & <=4000000) // whose use is remembered, 43 bytes each
	reach:    *2 | (int & >=1 & <=1000)         // routers that one subject's connections meet
	bank:     *"10s" | (span & <="10m")         // how long what stands idle here is kept
	lend:     *4 | (number & >=1 & <=1000)      // how much faster than its part banked capacity is used
}

#Tls: {
	listen:      string & !=""
	certificate: string & !="" // PEM, with what leads up to the root
	key:         string & !="" // PEM, for its owner alone to read
	clients:     *"off" | "optional" | "required"
	trust?:      string // PEM: who signs clients' certificates
	crl?:        string // PEM: lists of revoked ones
	revoked?:    string // a line each: serial:HEX or key:SHA-256 of the public key, HEX
	oldest:      *"1.2" | "1.3"
	handshakes:  *64 | (int & >=1 & <=100000) // under way at once
	handshake:   *"2s" | (span & >="50ms" & <="60s")
	handshake_cpu: *0.25 | (number & >0 & <=1) // seconds of CPU a second
	ticket_turn: *"1h" | (span & >="1s" & <="24h")
}

#Metadata: {
	repositories: [...#Repository]
	clients:      *65536 | (int & >=16 & <=4000000) // whose last timestamp is remembered, 60 bytes each
}

#Repository: {
	prefix: string & !=""  // of paths, with the request class before: "/look/updates/"
	root:   string & !=""  // the pinned root's file: the oldest that clients have
	lag:    *"30s" | (span & <="1h") // how long after a new timestamp endpoints may still serve the one before
}
)cue";

}  // namespace

std::string_view operator_schema() { return kSchema; }

}  // namespace ashbeam
