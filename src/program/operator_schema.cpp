#include "program/operator_schema.hpp"

namespace ashbeam {

namespace {

constexpr std::string_view kSchema =
    R"cue(// The schema of the operator file. A span is a duration as a string: "250ms", "5s", "10m", "24h". `*` marks the
// default, `?` a field that may be left out. Relative paths are resolved against the folder of the file.
#File: {
	calling?:  #Calling  // authentication, permissions and quotas of clients
	tls?:      #Tls      // a second listener that uses TLS
	metadata?: #Metadata // verification of the TUF metadata that endpoints serve
}

// A limit applies to all routers together.
#Limit: {
	per_s?:   number & >0 & <=1000000 // sustained requests per second; unlimited if left out
	burst:    *1 | (number & >=1 & <=1000000) // requests that may arrive at the same time
	in_hand?: int & >=1 & <=1000000 // requests in flight; unlimited if left out
}

#Subject: {
	name:         string & !="" // a subject, or a prefix of subjects followed by *
	path_groups?: [...string]   // permitted request classes; all that the tenant may use if left out
	limit?:       #Limit        // overrides `each` of the tenant
}

#Tenant: {
	name:          string & !="" // as in the header field X-Account and in tokens
	issuer?:       string        // of the tenant's tokens; the issuer of #Tokens if left out
	organisation?: string        // attribute O of the tenant's client certificates; `name` if left out
	path_groups?:  [...string]   // permitted request classes; all if left out
	limit?:        #Limit        // for all subjects of the tenant together
	each?:         #Limit        // for each subject of the tenant
	only_listed:   *false | bool // subjects that `subjects` does not list have no permissions
	subjects:      [...#Subject]
}

#Tokens: {
	keys:     string & !="" // path of a folder of JWKS files with the public keys
	reread:   *"1s" | (span & >="100ms" & <="1h") // interval of checks of the folder for changes; SIGHUP reloads at once
	issuer:   *"" | string // required claim iss; "" accepts any issuer
	audience: *"" | string // required claim aud; "" accepts any audience
	tenant_claim: *"tenant" | string // name of the claim with the tenant
	leeway:   *"30s" | (span & <="10m") // permitted difference between the clocks of issuer and router
	overlap:  *"60s" | (span & <="24h") // time for which a retiring key still verifies tokens
	longest:  *"24h" | (span & >="1s" & <="720h") // maximum time from issue to expiry of a token
	cached:   *8192 | (int & >=16 & <=1000000) // maximum number of verified tokens in the cache
	verifications_per_s: *2000 | (number & >=1 & <=100000) // maximum signature verifications per second
	go_on:    *false | bool // forward tokens to the endpoints
}

#Calling: {
	prove:    *"optional" | "required" // required: requests without a token or client certificate are rejected
	tokens?:  #Tokens
	tenants:  [...#Tenant]
	subjects: *65536 | (int & >=64 & <=4000000) // maximum number of subjects whose usage is stored, 43 bytes each
	reach:    *2 | (int & >=1 & <=1000) // number of routers over which the connections of one subject are spread
	bank:     *"10s" | (span & <="10m") // time for which unused quota remains available
	lend:     *4 | (number & >=1 & <=1000) // peak rate with unused quota, as a multiple of the sustained rate
}

#Tls: {
	listen:      string & !="" // numeric address and port
	certificate: string & !="" // path of a PEM file: server certificate, then intermediate certificates
	key:         string & !="" // path of a PEM file that only its owner may read
	clients:     *"off" | "optional" | "required" // client certificates
	trust?:      string // path of a PEM file: CA certificates that sign client certificates
	crl?:        string // path of a PEM file: certificate revocation lists
	revoked?:    string // path of a list of revoked certificates: lines serial:HEX or key:HEX (SHA-256 of the public key)
	oldest:      *"1.2" | "1.3" // minimum TLS version
	handshakes:  *64 | (int & >=1 & <=100000) // maximum number of handshakes in progress
	handshake:   *"2s" | (span & >="50ms" & <="60s") // handshake timeout
	handshake_cpu: *0.25 | (number & >0 & <=1) // maximum CPU time for handshakes, in seconds per second
	ticket_turn: *"1h" | (span & >="1s" & <="24h") // lifetime of a session ticket key
}

#Metadata: {
	repositories: [...#Repository]
	clients:      *65536 | (int & >=16 & <=4000000) // maximum number of clients whose last timestamp is stored, 60 bytes each
}

#Repository: {
	prefix: string & !="" // of request paths; begins with the request class: "/look/updates/"
	root:   string & !="" // path of the pinned root: the oldest root that clients trust
	lag:    *"30s" | (span & <="1h") // time after a new timestamp for which endpoints may serve the previous one
}
)cue";

}  // namespace

std::string_view operator_schema() { return kSchema; }

}  // namespace ashbeam
