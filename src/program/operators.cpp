#include "program/operators.hpp"

#include <algorithm>
#include <filesystem>

#include "calling/tenant_directory.hpp"
#include "records/value.hpp"
#include "store/files.hpp"
#include "transport/connection.hpp"

namespace ashbeam {

namespace {

using records::Value;

constexpr std::string_view kSchema =
    R"cue(// What an operator's file may say. Spans are strings: "250ms", "5s", "10m", "24h".
#File: {
	calling?: #Calling // who is calling: tokens, certificates, rights, quotas
	tls?:     #Tls     // a second listener, with TLS
	metadata?: #Metadata // signed update metadata, checked in flight
}

// Rates are of all routers together.
#Limit: {
	per_s?:   number & >0 & <=1000000   // hits a second
	burst:    *1 | (number & >=1 & <=1000000)
	in_hand?: int & >=1 & <=1000000     // hits at once
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
	go_on:    *false | bool           // hosts see the token, too
}

#Calling: {
	prove:    *"optional" | "required"
	tokens?:  #Tokens
	tenants:  [...#Tenant]
	subjects: *65536 | (int & >=64 & <=4000000) // whose use is remembered, 43 bytes each
	reach:    *2 | (int & >=1 & <=1000)         // routers that one subject's connections meet
	bank:     *"10s" | (span & <="10m")         // how long what stands idle here is kept
	lend:     *4 | (number & >=1 & <=1000)      // how much faster than its part banked room is used
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
	prefix: string & !=""  // of paths, with the path group before: "/look/updates/"
	root:   string & !=""  // the pinned root's file: the oldest that clients have
	lag:    *"30s" | (span & <="1h") // how long after a new timestamp hosts may still serve the one before
}
)cue";

calling::Limit limit_of(const Value& v) {
  calling::Limit l;
  if (!v.given()) return l;
  l.requests_per_s = v["per_s"].number;
  l.burst_requests = v["burst"].number;
  l.in_flight = static_cast<std::uint32_t>(v["in_hand"].number);
  return l;
}

std::vector<std::string> names_of(const Value& list) {
  std::vector<std::string> all;
  for (const Value& v : list.items) all.push_back(v.text);
  return all;
}

calling::TenantSettings tenant_of(const Value& v) {
  calling::TenantSettings t;
  t.name = v["name"].text, t.issuer = v["issuer"].text, t.organisation = v["organisation"].text;
  t.any_class = !v["path_groups"].given();
  t.allowed_classes = names_of(v["path_groups"]);
  t.tenant_limit = limit_of(v["limit"]);
  t.subject_limit = limit_of(v["each"]);
  t.only_listed = v["only_listed"].truth;
  for (const Value& s : v["subjects"].items) {
    calling::SubjectSettings one;
    one.name = s["name"].text;
    one.any_class = !s["path_groups"].given();
    one.allowed_classes = names_of(s["path_groups"]);
    if (s["limit"].given()) one.limit = limit_of(s["limit"]);
    t.subjects.push_back(std::move(one));
  }
  return t;
}

class Reader {
 public:
  Reader(const std::string& path, const WireSettings* door, const RouterSettings* terms)
      : path_(path), door_(door), terms_(terms) {}

  Operators read(std::string_view text) {
    records::Checked checked = records::check(kSchema, "#File", text);
    problems_ = std::move(checked.problems);
    Operators all;
    if (problems_.empty()) {
      const Value& calling = checked.value["calling"];
      const Value& tls = checked.value["tls"];
      if (calling.given()) all.calling = read_calling(calling);
      if (tls.given()) all.tls = read_tls(tls);
      if (checked.value["metadata"].given()) all.metadata = read_metadata(checked.value["metadata"]);
      if (calling.given() && calling["prove"].text == "required" && !calling["tokens"].given() &&
          (!tls.given() || tls["clients"].text == "off"))
        wrong(calling, "calling.prove", "tokens or tls.clients, or nobody can prove anything", "neither");
    }
    if (!problems_.empty()) throw OperatorsError(records::told(path_, problems_));
    return all;
  }

 private:
  void wrong(const Value& at, const std::string& path, const std::string& wanted, const std::string& found) {
    problems_.push_back({at.at, path, "wanted " + wanted + ", found " + found});
  }

  std::string file(const Value& v) const {
    if (v.text.empty()) return {};
    const std::filesystem::path given(v.text);
    return given.is_absolute() ? v.text : (std::filesystem::path(path_).parent_path() / given).string();
  }

  Operators::Calling read_calling(const Value& v) {
    Operators::Calling c;
    calling::CallingSettings& t = c.terms;
    t.required = v["prove"].text == "required";
    const Value& tokens = v["tokens"];
    if (tokens.given()) {
      c.keys = file(tokens["keys"]);
      c.reread = tokens["reread"].span();
      c.token_goes_on = tokens["go_on"].truth;
      t.issuer = tokens["issuer"].text, t.audience = tokens["audience"].text;
      t.tenant_claim = tokens["tenant_claim"].text;
      t.leeway = tokens["leeway"].span(), t.overlap = tokens["overlap"].span();
      t.max_token_lifetime = tokens["longest"].span();
      t.max_cached_tokens = static_cast<std::size_t>(tokens["cached"].number);
      t.verifications_per_s = tokens["verifications_per_s"].number;
    }
    t.max_subjects = static_cast<std::size_t>(v["subjects"].number);
    t.routers_per_subject = static_cast<std::uint32_t>(v["reach"].number);
    t.bank = v["bank"].span();
    t.peak_factor = v["lend"].number;
    for (const Value& tenant : v["tenants"].items) t.tenants.push_back(tenant_of(tenant));
    if (terms_) {
      t.router_count = terms_->router_count;
      for (const RequestClass& g : terms_->request_classes)
        t.max_request_duration = std::max(t.max_request_duration, g.client_timeout);
    }
    if (door_) {
      t.request_classes = door_->request_classes;
      t.policy_tenants = door_->tenants;
      for (const std::string& p : calling::find_problems(t))
        wrong(v["tenants"], "calling.tenants", "names that fit", p);
    } else {  // whatever is named stands for itself
      for (const auto& tenant : t.tenants) {
        t.request_classes.insert(t.request_classes.end(), tenant.allowed_classes.begin(),
                                 tenant.allowed_classes.end());
        for (const auto& s : tenant.subjects)
          t.request_classes.insert(t.request_classes.end(), s.allowed_classes.begin(),
                                   s.allowed_classes.end());
      }
      for (const std::string& p : calling::find_problems(t))
        wrong(v["tenants"], "calling.tenants", "names that fit", p);
    }
    return c;
  }

  Operators::Metadata read_metadata(const Value& v) {
    Operators::Metadata m;
    m.clients = static_cast<std::size_t>(v["clients"].number);
    for (const Value& r : v["repositories"].items) {
      const std::string& prefix = r["prefix"].text;
      const std::size_t second = prefix.find('/', 1);
      const bool good = prefix[0] == '/' && second != std::string::npos && prefix.ends_with('/');
      const auto group = [&] { return prefix.substr(1, second - 1); };
      if (!good) {
        wrong(r["prefix"], "metadata.repositories", "a prefix like /look/updates/", records::quoted(prefix));
      } else if (door_ && std::find(door_->request_classes.begin(), door_->request_classes.end(), group()) ==
                              door_->request_classes.end()) {
        wrong(r["prefix"], "metadata.repositories", "a path group at the prefix's head",
              records::quoted(prefix));
      }
      m.repositories.push_back({prefix, file(r["root"]), r["lag"].span()});
    }
    return m;
  }

  TlsSettings read_tls(const Value& v) {
    TlsSettings t;
    t.listen = v["listen"].text;
    if (!is_numeric_address(t.listen) && !t.listen.ends_with(":0"))
      wrong(v["listen"], "tls.listen", "a numeric address and port", records::quoted(t.listen));
    t.certificate = file(v["certificate"]), t.key = file(v["key"]);
    t.trust = file(v["trust"]), t.crl = file(v["crl"]), t.revoked = file(v["revoked"]);
    const std::string& clients = v["clients"].text;
    t.client_certificates = clients == "off"        ? TlsSettings::ClientCertificates::kOff
                            : clients == "optional" ? TlsSettings::ClientCertificates::kOptional
                                                    : TlsSettings::ClientCertificates::kRequired;
    if (t.client_certificates != TlsSettings::ClientCertificates::kOff && t.trust.empty())
      wrong(v["clients"], "tls.trust", "who signs clients' certificates", "nothing");
    t.tls13_only = v["oldest"].text == "1.3";
    t.max_handshakes = static_cast<std::size_t>(v["handshakes"].number);
    t.handshake_timeout = v["handshake"].span();
    t.handshake_cpu_per_second = v["handshake_cpu"].number;
    t.ticket_key_lifetime = v["ticket_turn"].span();
    return t;
  }

  const std::string& path_;
  const WireSettings* door_;
  const RouterSettings* terms_;
  std::vector<records::Problem> problems_;
};

}  // namespace

std::string_view operators_schema() { return kSchema; }

Operators operators_from(std::string_view text, const std::string& path, const WireSettings* door,
                         const RouterSettings* terms) {
  return Reader(path, door, terms).read(text);
}

TlsFiles read_tls_files(const TlsSettings& terms) {
  constexpr std::size_t kLongestPem = 1024 * 1024, kLongestList = 16 * kLongestPem;
  const auto read = [](const std::string& path, std::size_t most) {
    return path.empty() ? "" : read_file(path, most);
  };
  need_private(terms.key);
  return {read(terms.certificate, kLongestPem), read(terms.key, kLongestPem), read(terms.trust, kLongestPem),
          read(terms.crl, kLongestList), read(terms.revoked, kLongestList)};
}

Operators read_operators(const std::string& path, const WireSettings* door, const RouterSettings* terms) {
  return operators_from(read_file(path, records::kLongestFile), path, door, terms);
}

}  // namespace ashbeam
