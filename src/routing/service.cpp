#include "routing/service.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace ashbeam {

namespace {

// The place of a name, or one past the last.
unsigned index_of(const std::vector<std::string>& names, std::string_view name) {
  return static_cast<unsigned>(std::find(names.begin(), names.end(), name) - names.begin());
}

// Header lines that concern one connection only, or are written anew.
bool goes_on(const http::Head& head, std::string_view name) {
  for (const char* own : {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Upgrade", "Expect",
                          "X-Time-Left-Ms", "X-Backend-Load", "X-Unprocessed"}) {
    if (http::field_names_equal(name, own)) return false;
  }
  // Guards against a sender that names as its connection's own what a message's end or name hangs on.
  for (const char* always :
       {"Host", "Content-Length", "Transfer-Encoding", "X-Correlation-Id", "Idempotency-Key"}) {
    if (http::field_names_equal(name, always)) return true;
  }
  return !head.has_token("Connection", name);
}

std::string kept_lines(const http::Head& head) {
  std::string lines;
  for (const http::Field& f : head.fields()) {
    if (goes_on(head, f.name)) lines += f.line;
  }
  return lines;
}

// Guards against clients that name themselves what hosts believe from us: some hosts take - and _ for one.
bool says_caller(std::string_view name) {
  constexpr std::string_view kOurs = "x-caller";
  return std::equal(name.begin(), name.end(), kOurs.begin(), kOurs.end(), [](char a, char b) {
    if (a == '_') a = '-';
    return (a >= 'A' && a <= 'Z' ? static_cast<char>(a - 'A' + 'a') : a) == b;
  });
}

// As hosts are told of a hit whose caller was asked for: the token is ours to keep, unless it is to go on.
std::string vouched_lines(const http::Head& head, const calling::Identity& who, bool token_goes_on) {
  std::string lines;
  for (const http::Field& f : head.fields()) {
    if (!goes_on(head, f.name) || says_caller(f.name)) continue;
    if (!who.principal.empty() && !token_goes_on && http::field_names_equal(f.name, "Authorization"))
      continue;
    lines += f.line;
  }
  if (!who.principal.empty()) lines.append("X-Caller: ").append(who.principal).append("\r\n");
  return lines;
}

// Is a figure that decisions need missing, or there twice, so that a host might take the other one?
bool unclear(const http::Head& head, Idempotency repeats, std::size_t longest_id) {
  for (const char* name :
       {"X-Correlation-Id", "X-Account", "X-Time-Left-Ms", "Idempotency-Key", "X-Session-Key"}) {
    if (head.count(name) > 1) return true;
  }
  const auto id = head.find("X-Correlation-Id").value_or("");
  return id.empty() || id.size() > longest_id || !head.find("X-Time-Left-Ms") ||
         (repeats == Idempotency::kKeyed && head.find("Idempotency-Key").value_or("").empty());
}

// Calls back with each name=value of a comma-separated list whose value is a number.
template <class What>
void each_figure(std::string_view list, What&& what) {
  http::for_each_list_element(list, [&](std::string_view one) {
    const std::size_t eq = one.find('=');
    if (eq == std::string_view::npos) return;
    const std::string_view text = one.substr(eq + 1);
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error == std::errc() && end == text.data() + text.size()) what(one.substr(0, eq), value);
  });
}

const char* name_of(AttemptResult result) {
  constexpr std::array kNames{"ok",    "error",     "turned away",           "timeout",      "no connect",
                              "reset", "cancelled", "cancelled before sent", "local failure"};
  const auto at = static_cast<std::size_t>(result);
  return at < kNames.size() ? kNames[at] : "unknown";
}

}  // namespace

// A forward may wait for its connection, and reaches its host that much later: a repeat must still come while
// the host remembers.
RouterSettings Service::on_sockets(RouterSettings terms, Span connect) {
  for (RequestClass& g : terms.request_classes) g.key_retention = std::max(Span(), g.key_retention - connect);
  return terms;
}

Service::Service(EventLoop& loop, const Limits& limits, const RouterSettings& terms, const WireSettings& door,
                 const Site& site, Note note)
    : loop_(loop), limits_(limits), door_(door), site_(site), note_(std::move(note)), detail_(note_),
      callers_(
          loop, limits, site.listen, [this](Caller& c, http::MessageParser& m) { came(c, m); },
          [this](Caller& c) { left(c); }, [this](Caller& c) { overdue(c.hit); }),
      pools_(loop, limits, std::min(limits.connect_timeout, terms.drain_grace * 0.5)),
      lease_(lease_terms(limits, terms, pools_.connect())),
      discovery_(loop, limits, site.discovery, detail_, *this), one_way_(terms.sticky_keys),
      ids_(limits.max_remembered_ids), first_ask_(loop, [this] { watch_endpoints(); }),
      listed_ready_(loop, [this] { ready_without_list(); }),
      lease_over_(loop, [this] { lease_changed("no news"); }),
      local_failures_over_(
          loop,
          [this] {
            note_("attempts no longer fail on this machine: " + std::to_string(local_failures_) + " did");
            local_failures_ = 0;
          }),
      stop_(loop, [this] { check_wound_down(); }), refused_(loop, [this] { tell_refused(); }),
      zones_(door.zones, "zones"), kinds_(door.machine_types, "kinds"),
      module_(make_router_policy(on_sockets(terms, pools_.connect()), site.seed, *this)) {
  for (const RequestClass& g : terms.request_classes) repeats_.push_back(g.idempotency);
}

Service::~Service() = default;

void Service::start() {
  listed_ready_.in(limits_.ready_without_list_after);
  tell([](RouterPolicy& r) { r.start(); });
  if (!site_.known.empty() && !discovery_.take(site_.known)) note_("known list can't be read");
  known_until_ = loop_.now() + limits_.configured_list_validity;
  lease_changed("started");
  if (const auto news = Json::parse(site_.news)) stage(*news, false);
  // On sockets nobody sends the list unasked, whatever the settings say of how it comes elsewhere.
  open_desk();
  started_ = true;
  first_ask_.in(limits_.max_initial_poll_delay * Pcg(site_.seed).unit());
}

void Service::ready_without_list() {
  note_("ready without a list from discovery");
  now_ready();
}

// Ready means that it can serve: with the list as it stands now, since what discovery has told the machine
// counts from a process' first moment, and the list in the configuration may be old.
void Service::now_ready() {
  listed_ready_.off();
  ready_ = true;
}

// ---- Clients ----

void Service::came(Caller& caller, http::MessageParser& request) {
  const http::Head& head = request.head();
  std::string_view path = head.target();
  path = path.substr(0, path.find('?'));
  if (path == "/health/ready") {
    if (head.method() != "GET") return caller.answer_plain(405, "Allow: GET\r\n");
    return caller.answer_plain(ready_ && !winding_down_ ? 200 : 503);
  }
  const Instant now = loop_.now();
  const TlsStream::PeerProof proof = caller.proof(now);
  if (proof.refused) {
    caller.end_after();
    return refuse(caller, calling::Refusal::kCertificate, Span());
  }
  calling::Identity& who = who_;
  if (gate_ && !known(caller, head, proof, who)) return;
  path.remove_prefix(1);
  const unsigned group = index_of(door_.request_classes, path.substr(0, path.find('/')));
  if (group >= door_.request_classes.size()) return caller.answer_plain(404);
  const Idempotency repeats = repeats_[group];
  const std::string method = repeats == Idempotency::kIdempotent ? "GET" : "POST";
  if (head.method() != method) return caller.answer_plain(405, "Allow: " + method + "\r\n");
  if (unclear(head, repeats, limits_.max_request_id_bytes)) return caller.answer_plain(400);
  const auto left_ms = http::parse_decimal(*head.find("X-Time-Left-Ms"));
  // What may run again has no body: a host might take one for a request behind it.
  if (!left_ms || (repeats == Idempotency::kIdempotent && !request.raw_body().empty()))
    return caller.answer_plain(400);
  Instant give_up_at = now + Span::ms(std::min(static_cast<double>(*left_ms), 3.6e6));
  // What comes after the signal to stop is answered before the machine may kill this process.
  if (winding_down_)
    give_up_at = std::min(give_up_at, stop_at_ + limits_.earliest_kill - limits_.kill_margin);
  calling::AdmissionToken ticket;
  if (gate_ && !let_in(caller, who, group, ticket)) return;
  // Guards against a hit run twice since another client came with its id, during it or soon after.
  // By account: what one customer sends says nothing of another's.
  id_.assign(head.find("X-Account").value_or("")).append(1, '\n').append(*head.find("X-Correlation-Id"));
  if (!ids_.take(id_, now, give_up_at + limits_.request_id_retention)) {
    if (gate_) gate_->release(ticket);
    return caller.answer_plain(409);
  }

  const RequestId place = hits_.take();
  Hit& hit = hits_[place];
  ++in_hand_;
  hit.live = true;
  hit.caller = &caller;
  caller.hit = place;
  hit.give_up_at = give_up_at;
  hit.ticket = ticket;
  if (warden_) {
    std::string_view file;
    const std::string_view whole = head.target();
    const std::uint32_t repository = warden_->repository_of(whole.substr(0, whole.find('?')), file);
    if (repository != metadata::MetadataVerifier::kNoRepository) {
      // Who has proven nothing is known by the connection.
      const std::uint64_t client = who.principal.empty() ? caller.serial : who.subject_hash;
      hit.metadata = std::make_unique<Metadata>(Metadata{repository, std::string(file), client, {}});
    }
  }
  hit.head.assign(head.start_line());
  hit.head += gate_ ? vouched_lines(head, who, token_goes_on_) : kept_lines(head);
  hit.body = request.take_raw_body();
  caller.answer_by(give_up_at + limits_.overdue_answer_delay);
  std::uint64_t key = 0;
  // A key is any text; decisions need only know it again, where keys are one-way, and none is 0.
  const auto named = one_way_ ? head.find("X-Session-Key") : std::nullopt;
  if (named && !named->empty()) key = XXH3_64bits(named->data(), named->size()) | 1U;
  if (const auto facts = head.find("X-Facts")) {
    each_figure(*facts, [&](std::string_view name, double value) {
      if (name == "targetKey" && value >= 1 && value < 1.8e19) key = static_cast<std::uint64_t>(value);
    });
  }
  const unsigned customer = who.principal.empty()
                                ? index_of(door_.tenants, head.find("X-Account").value_or(""))
                                : who.policy_tenant;
  if (one_way_) hit.key = key;
  if (detail_.on(LogTopic::kRequests)) {
    const std::string_view id = head.find("X-Correlation-Id").value_or("");
    detail_.line(LogTopic::kRequests, now, "request %u taken: id %.*s class %u, time left %.0f ms", place,
                 static_cast<int>(id.size()), id.data(), group, (give_up_at - now).ms());
  }
  tell([&](RouterPolicy& r) { r.on_request({place, group, customer, key, give_up_at}); });
}

// ---- Who is calling ----

void Service::guard(std::unique_ptr<calling::Authorizer> gate, bool token_goes_on) {
  gate_ = std::move(gate);
  token_goes_on_ = token_goes_on;
}

void Service::also_listen(const TlsSettings& terms, std::shared_ptr<TlsCredentials> material) {
  tls_ = std::make_unique<TlsAcceptor>(loop_, terms, std::move(material), note_);
  callers_.also_listen(
      terms.listen, [this](int fd) { return tls_->accept(fd); },
      [this] { return tls_->handshake_timeout(); });
}

bool Service::known(Caller& caller, const http::Head& head, const TlsStream::PeerProof& proof,
                    calling::Identity& who) {
  calling::Credentials credentials;
  credentials.authorization = head.find("Authorization").value_or("");
  credentials.ambiguous = head.count("Authorization") > 1 || head.count("X-Account") > 1;
  credentials.account = head.find("X-Account").value_or("");
  credentials.certificate = proof.certificate;
  Span retry_after;
  const calling::Refusal why =
      gate_->authenticate(credentials, caller.history, loop_.now(), who, retry_after);
  if (why != calling::Refusal::kNone) refuse(caller, why, retry_after);
  return why == calling::Refusal::kNone;
}

bool Service::let_in(Caller& caller, const calling::Identity& who, unsigned group,
                     calling::AdmissionToken& ticket) {
  Span retry_after;
  const calling::Refusal why = gate_->admit(who, group, loop_.now(), ticket, retry_after);
  if (why != calling::Refusal::kNone) refuse(caller, why, retry_after);
  return why == calling::Refusal::kNone;
}

void Service::refuse(Caller& caller, calling::Refusal why, Span retry_after) {
  if (gate_ && !refused_.armed()) refused_.in(Span::s(1));
  const unsigned status = calling::http_status_of(why);
  const std::string word(calling::name_of(why));
  if (status == 403) return caller.answer_plain(403, "X-Refused: " + word + "\r\n");
  if (status == 401) {
    return caller.answer_plain(
        401,
        why == calling::Refusal::kNoCredentials
            ? "WWW-Authenticate: Bearer\r\n"
            : "WWW-Authenticate: Bearer error=\"invalid_token\", error_description=\"" + word + "\"\r\n");
  }
  char after[48];
  std::snprintf(after, sizeof after, "Retry-After: %.3f\r\n",
                static_cast<double>(retry_after.us() / 1000 + 1) / 1e3);
  caller.answer_plain(429, after + ("X-Refused: " + word + "\r\n"));
}

// One line for all of a second.
void Service::tell_refused() {
  constexpr std::size_t kReasons = calling::kRefusalCount;
  refused_told_.resize(kReasons, 0);
  std::string line;
  for (std::size_t i = 1; i < kReasons; ++i) {
    const auto why = static_cast<calling::Refusal>(i);
    const std::uint64_t more = gate_->refused(why) - refused_told_[i];
    if (more == 0) continue;
    refused_told_[i] += more;
    line.append(line.empty() ? "" : ", ").append(calling::name_of(why)).append(" " + std::to_string(more));
  }
  note_("calling: refused within 1 s: " + line);
}

Caller* Service::take_caller(RequestId id) {
  Caller* const caller = hits_[id].caller;
  hits_[id].caller = nullptr;
  if (caller) caller->hit = UINT32_MAX;
  return caller;
}

void Service::left(Caller& caller) {
  const RequestId id = caller.hit;
  if (id == UINT32_MAX) return;
  detail_.line(LogTopic::kRequests, loop_.now(), "request %u: its client closed", id);
  take_caller(id);
  abandon(id);
}

void Service::abandon(RequestId id) {
  tell([&](RouterPolicy& r) { r.on_client_disconnect(id); });
  drop_if_over(id);
}

// Guards against a hit that the module would leave without an answer.
void Service::overdue(RequestId id) {
  note_("hit overdue: answered with an error");
  if (Caller* const caller = take_caller(id)) caller->answer_plain(504);
  abandon(id);
}

void Service::drop_if_over(RequestId id) {
  Hit& hit = hits_[id];
  if (!hit.live || hit.caller || hit.out > 0) return;
  --in_hand_;
  if (gate_) gate_->release(hit.ticket);
  hit = Hit{};
  hits_.give_back(id);
}

void Service::reject(RequestId id, Span retry_after) {
  char after[48] = "";
  if (retry_after > Span()) std::snprintf(after, sizeof after, "Retry-After: %.3f\r\n", retry_after.s());
  // A file that no host had in a good form is no lack of room.
  const Hit& hit = hits_[id];
  if (hit.metadata && !hit.metadata->refused.empty())
    return answer_finally(id, 502, after + ("X-Refused: " + hit.metadata->refused + "\r\n"));
  answer_finally(id, 503, after);
}

void Service::fail(RequestId id) {
  const Hit& hit = hits_[id];
  if (hit.metadata && !hit.metadata->refused.empty())
    return answer_finally(id, 502, "X-Refused: " + hit.metadata->refused + "\r\n");
  answer_finally(id, 502);
}

// The place is given back after the call at hand: the module may still name the hit in it.
void Service::answer_finally(RequestId id, unsigned status, std::string_view fields) {
  detail_.line(LogTopic::kRequests, loop_.now(),
               "request %u answered %u without an endpoint's answer, endpoint list %s", id, status,
               policy::name_of(lease_.state(loop_.now())));
  if (Caller* const caller = take_caller(id)) caller->answer_plain(status, fields);
  loop_.post([this, id] { drop_if_over(id); });
}

// ---- Metadata ----

bool Service::fit(Hit& hit, EndpointIndex host, const http::MessageParser& answer) {
  std::string plain;
  metadata::Refusal why;
  if (answer.head().find("Content-Encoding")) {
    why = {metadata::RefusalReason::kUnreadable, "a coded body", "TUF 4.1"};
  } else if (answer.head().find("Transfer-Encoding")) {
    http::Body body(limits_.max_body_bytes);
    body.expect_chunks();
    std::string_view bytes = answer.raw_body();
    std::string raw;
    body.feed(bytes, raw, &plain);
  } else {
    plain = answer.raw_body();
  }
  const Instant now = loop_.now();
  if (!why)
    why = warden_->check(hit.metadata->repository, hit.metadata->file, plain, hit.metadata->client, now);
  if (!why) return true;
  hit.metadata->refused = why.line();
  Instant& told = refusal_told_[why.reason];
  if (now - told > Span::s(1)) {
    told = now;
    note_("metadata: refused " + hit.metadata->file.substr(0, 80) + " of " + hosts_[host].address + ": " +
          why.line());
  }
  return false;
}

// ---- Forwards ----

void Service::send_attempt(RequestId id, EndpointIndex host) {
  Hit& hit = hits_[id];
  const Instant now = loop_.now();
  const auto leg = static_cast<unsigned>(hit.legs.size());
  const Instant until = hit.give_up_at;
  // The time left is told as it is when the connection is there: that may be long after now.
  const auto bytes = [this, id](Instant end) {
    const Hit& h = hits_[id];
    const std::int64_t left_ms = std::max<std::int64_t>(0, (end - loop_.now()).us() / 1000);
    return h.head + "X-Time-Left-Ms: " + std::to_string(left_ms) + "\r\n\r\n" + h.body;
  };
  detail_.line(LogTopic::kRequests, now,
               "request %u attempt %u to endpoint %u at %s, release %.0f, waits %.0f ms at most", id, leg,
               host, hosts_[host].address.c_str(), hosts_[host].build, (until - now).ms());
  hit.legs.push_back({host, now, nullptr});
  ++hit.out;
  ++hosts_[host].out;
  hit.legs.back().link = pools_.send(
      host, bytes, until, [this, id, leg](AttemptResult result, const http::MessageParser* answer) {
        forward_ended(id, leg, result, answer);
      });
}

void Service::cancel_attempt(RequestId id, unsigned leg) {
  Hit& hit = hits_[id];
  if (leg >= hit.legs.size() || !hit.legs[leg].link) return;
  HostPools::Link* const link = hit.legs[leg].link;
  hit.legs[leg].link = nullptr;
  pools_.cancel(link);
}

void Service::forward_ended(RequestId id, unsigned leg, AttemptResult result,
                            const http::MessageParser* answer) {
  Hit& hit = hits_[id];
  Leg& forward = hit.legs[leg];
  const Instant opened = HostPools::opened_at(forward.link);
  forward.link = nullptr;
  --hit.out;
  const EndpointIndex host = forward.host;
  --hosts_[host].out;
  const Span took = loop_.now() - forward.sent;
  if (result == AttemptResult::kLocalFailure) failed_locally();
  if (result == AttemptResult::kOk && lease_.vouches(opened))
    tell([&](RouterPolicy& r) { r.extend_endpoint_validity(host, lease_.valid_after_answer(forward.sent)); });
  detail_.line(LogTopic::kRequests, loop_.now(),
               "request %u attempt %u to endpoint %u ended: %s, after %.1f ms", id, leg, host,
               name_of(result), took.ms());
  bool terminal = false;
  unsigned status = 200;
  if (hit.metadata && answer) {
    // A client asks for the root after the last one until there is none (TUF 5.3.3): that is no failure.
    if (result == AttemptResult::kError && answer->status() == 404 &&
        hit.metadata->file.ends_with("root.json"))
      result = AttemptResult::kOk, status = 404;
    else if (result == AttemptResult::kOk && !fit(hit, host, *answer)) result = AttemptResult::kError;
  }
  if (result == AttemptResult::kOk) {
    if (Caller* const caller = take_caller(id)) {
      std::string fields = kept_lines(answer->head());
      if (answer->body_ends_with_stream())
        fields += "Content-Length: " + std::to_string(answer->raw_body().size()) + "\r\n";
      caller->answer(status, fields, answer->raw_body());
      terminal = true;
    }
  }
  if (result == AttemptResult::kOk && hit.key != 0) recall_earlier(hit.key, hosts_[host].build);
  tell([&](RouterPolicy& r) { r.on_attempt_end({id, leg, host, result, took, terminal}); });
  drop_if_over(id);
}

// One line when this machine begins to refuse connections, and one when it has stopped.
void Service::failed_locally() {
  constexpr Span kOver = Span::s(1);
  if (local_failures_++ == 0) note_("attempts fail on this machine: no connection can be made");
  local_failures_over_.in(kOver);
}

// Guards against a key that goes back: a forward at an earlier build may still wait for its connection when a
// newer one answers for its key, and would arrive after that. It has never run, and is decided anew.
void Service::recall_earlier(std::uint64_t key, double build) {
  for (RequestId id = 0; id < hits_.places(); ++id) {
    Hit& hit = hits_[id];
    if (!hit.live || hit.key != key) continue;
    for (Leg& leg : hit.legs) {
      const bool earlier = leg.link && hosts_[leg.host].build < build;
      if (earlier && pools_.recall(leg.link)) leg.link = nullptr;  // it may be called off before it has ended
    }
  }
}

// ---- The list ----

// After the call at hand; the first time with the start's wait over, and from the known list.
void Service::watch_endpoints() {
  if (started_) loop_.post([this] { discovery_.follow(); });
}

void Service::listed(bool whole, const Json& entries) {
  tell([&](RouterPolicy& r) { r.begin_endpoint_update(whole); });
  if (whole) {
    for (Known& known : hosts_) known.listed = false;
  }
  entries.for_each_element([this](const Json& entry) { list_entry(entry); });
  if (whole) {
    for (EndpointIndex h = 0; h < hosts_.size(); ++h) {
      if (hosts_[h].listed || hosts_[h].gone_at < Instant::never()) continue;
      hosts_[h].gone_at = loop_.now();
      pools_.place(h, hosts_[h].address, false, false);
    }
  }
  tell([](RouterPolicy& r) { r.end_endpoint_update(); });
  forget_hosts();
  if (watch_tries_ > 0) note_("discovery: watch stands again, tries " + std::to_string(watch_tries_));
  watch_tries_ = 0;
}

policy::EndpointLeaseSettings Service::lease_terms(const Limits& limits, const RouterSettings& terms,
                                                   Span connect) {
  policy::EndpointLeaseSettings lease;
  if (terms.must_watch_endpoints)
    lease.notified_within = std::min(lease.notified_within, terms.endpoint_poll_interval);
  lease.drain_grace = terms.drain_grace;
  lease.send_delay = connect + limits.max_processing_delay + limits.max_network_delay;
  return lease;
}

void Service::list_confirmed() {
  lease_.confirmed(loop_.now());
  lease_changed("confirmed");
  if (started_ && !ready_) now_ready();
}

void Service::list_begun() {
  lease_.line_begun(loop_.now());
  publish_lease();
}

// The decisions hear of it at once; a change of state is logged with its reason.
void Service::lease_changed(const char* why) {
  publish_lease();
  const policy::LeaseState state = lease_.state(loop_.now());
  if (state == lease_state_) return;
  lease_state_ = state;
  if (state == policy::LeaseState::kFresh) return note_("endpoint list: fresh");
  const Span age = loop_.now() - lease_.confirmed_at();
  const std::string since = age < Span::s(1e6) ? std::to_string(age.us() / 1000) + " ms ago" : "never";
  note_(std::string("endpoint list: ") + policy::name_of(state) + ", " + why + ", last confirmed " + since);
}

void Service::publish_lease() {
  EndpointListValidity validity;
  validity.any_endpoint = std::max(lease_.valid_until(), known_until_);
  validity.no_endpoint = lease_.pending_until();
  tell([&](RouterPolicy& r) { r.set_endpoint_list_validity(validity); });
  if (validity.any_endpoint > loop_.now()) lease_over_.at(validity.any_endpoint);
  else lease_over_.off();
}

// Guards against a fleet whose ids are always new: the places of hosts long gone are used again.
void Service::forget_hosts() {
  const Instant long_ago = loop_.now() - limits_.removed_endpoint_retention;
  std::erase_if(indices_, [&](const auto& named) {
    const Known& known = hosts_[named.second];
    const bool over = !known.listed && known.out == 0 && known.gone_at <= long_ago;
    if (over) free_hosts_.push_back(named.second);
    return over;
  });
}

unsigned Service::Names::place(const std::string& name) {
  if (known_.empty()) return 0;
  const unsigned at = index_of(known_, name);
  if (at < known_.size()) return at;
  const unsigned more = index_of(unknown_, name);
  if (more == unknown_.size() && unknown_.size() < kMostUnknown) unknown_.push_back(untold_ = name);
  return static_cast<unsigned>(known_.size()) + std::min(more, kMostUnknown - 1);
}

void Service::list_entry(const Json& entry) {
  const std::string name = entry.text("uid"), state = entry.text("state");
  if (name.empty() || (state != "up" && state != "draining" && state != "removed")) {
    return note_("list: an entry with no id or an unknown state is passed over: " +
                 std::string(entry.raw().substr(0, 200)));
  }
  const auto found = indices_.find(name);
  auto host = static_cast<EndpointIndex>(hosts_.size());
  if (found != indices_.end()) {
    host = found->second;
  } else {
    if (state == "removed") return;
    if (free_hosts_.empty()) hosts_.emplace_back();
    else host = free_hosts_.back(), free_hosts_.pop_back();
    hosts_[host] = {};
    indices_.emplace(name, host);
  }
  Known& known = hosts_[host];
  std::string address = entry.text("endpoint");
  if (address.empty()) address = known.address;
  const double build = entry.number("release", known.build), started = entry.number("boot_ms", 0);
  const bool fresh = address != known.address || build != known.build || started != known.started;
  if (fresh)
    known.start =
        policy::endpoint_start(started, loop_.now(), loop_.wall_clock_offset(), lease_.confirmed_at());
  const bool gone = state == "removed";
  if (gone && known.listed) known.gone_at = loop_.now();
  if (!gone) known.gone_at = Instant::never();
  known.address = address, known.build = build, known.started = started, known.listed = !gone;
  pools_.place(host, address, fresh, state == "up");
  const unsigned zone = zones_.place(listed_name(entry.text("az")));
  const unsigned kind = kinds_.place(listed_name(entry.text("model")));
  for (Names* const names : {&zones_, &kinds_}) {
    if (const std::string met = names->take_unknown(); !met.empty())
      note_("list: '" + met + "' is not in the settings' " + names->what());
  }
  const EndpointState as = state == "up"         ? EndpointState::kReady
                           : state == "draining" ? EndpointState::kDraining
                                                 : EndpointState::kRemoved;
  EndpointUpdate update;
  update.endpoint = host;
  update.state = as;
  update.version = static_cast<ReleaseVersion>(std::lround(std::clamp(build, 0.0, 65535.0)));
  update.zone = zone;
  update.cell = static_cast<unsigned>(std::max(0.0, entry.number("pod_group", 0)));
  update.machine_type = kind;
  update.started_at = known.start;
  tell([&](RouterPolicy& r) { r.update_endpoint(update); });
}

void Service::list_lost(const char* why, bool again, bool refused) {
  lease_.watch_lost();
  if (refused) lease_.unreachable(loop_.now());
  lease_changed(why);
  if (watch_tries_++ == 0) note_(std::string("discovery: watch ") + why);
  if (!again) tell([](RouterPolicy& r) { r.on_endpoint_watch_failed(); });
}

// ---- The release desk ----

void Service::open_desk() {
  desk_ = std::make_unique<ReleaseClient>(
      loop_, limits_, site_.desk, site_.seed,
      [this](const std::string& method, const Json& params) { return desk_said(method, params); },
      [this](VoteOutcome answer, const Json* state) { return vote_answered(answer, state); },
      [this](const std::string& what) { note_("desk: " + what); });
  desk_->start();
}

void Service::cast_vote(ReleaseVersion build, unsigned stage, Vote vote) { desk_->vote(build, stage, vote); }

bool Service::vote_answered(VoteOutcome answer, const Json* state) {
  if (answer == VoteOutcome::kAccepted) return stage(*state, true);
  tell([&](RouterPolicy& r) { r.on_vote_refused(answer); });
  return true;
}

bool Service::stage(const Json& state, bool answers_vote) {
  static const std::vector<std::string> phases{"trial", "rolling_back", "released", "withdrawn"};
  const unsigned phase = index_of(phases, state.text("progress"));
  const double build = state.number("image", -1), at = state.number("ring", -1),
               cap = state.number("ceiling", -1);
  if (phase >= phases.size() || build < 0 || build > 65535 || at < 0 || at > 255 || cap < 0) {
    note_("desk: a state that can't be read is passed over: " + std::string(state.raw().substr(0, 200)));
    if (answers_vote) vote_answered(VoteOutcome::kUnknown, nullptr);
    return false;
  }
  ReleaseState news;
  news.version = static_cast<ReleaseVersion>(build);
  news.stage = static_cast<unsigned>(at);
  news.phase = static_cast<ReleasePhase>(phase);
  news.exposure_cap = cap;
  news.age = Span::ms(std::max(0.0, state.number("lag_ms", 0)));
  tell([&](RouterPolicy& r) { r.on_release_state(news); });
  return true;
}

bool Service::desk_said(const std::string& method, const Json& params) {
  const Span age = Span::ms(std::max(0.0, params.number("lag_ms", 0)));
  if (method == "ROLLOUT") return stage(params, false);
  const unsigned group = index_of(door_.request_classes, params.text("type"));
  const double build = params.number("image", 0), count = params.number("n", -1),
               bad = params.number("bad", -1);
  const auto host = indices_.find(params.text("host"));
  if (method == "SAMPLE" && group < door_.request_classes.size() && build >= 0 && build < 65536 && bad >= 0 &&
      count >= bad && count < 4e9) {
    OutcomeSample sample;
    sample.version = static_cast<ReleaseVersion>(build);
    sample.request_class = group;
    sample.count = static_cast<std::uint32_t>(count);
    sample.failed = static_cast<std::uint32_t>(bad);
    tell([&](RouterPolicy& r) { r.on_outcome_sample(sample); });
  } else if (method == "DISPUTE" && group < door_.request_classes.size() && host != indices_.end()) {
    tell([&](RouterPolicy& r) { r.on_disputed_answer({host->second, age}); });
  } else {
    note_("desk: news that can't be used is passed over: " + method + " " +
          std::string(params.raw().substr(0, 200)));
    // Guards against words spoilt on their way: what stands is told anew on a new connection. News of the
    // same unknown kind a second time is no accident.
    if (method != "SAMPLE" && method != "DISPUTE") return doubted_ == method || (doubted_ = method, false);
  }
  return true;
}

// ---- The rest ----

void Service::schedule_wakeup(Span from_now, std::uint64_t token) {
  auto& timer = wakes_[token];
  if (!timer) {
    timer =
        std::make_unique<Timer>(loop_, [this, token] { tell([&](RouterPolicy& r) { r.on_wakeup(token); }); });
  }
  timer->in(from_now);
}

void Service::log(std::string_view line) { note_(line); }

void Service::move_to(const std::string& discovery, const std::string& desk) {
  if (discovery != site_.discovery) discovery_.move_to(site_.discovery = discovery);
  if (desk == site_.desk) return;
  site_.desk = desk;
  retired_.push_back(std::move(desk_));
  open_desk();
  retired_.back()->retire([this, old = retired_.back().get()] {
    std::erase_if(retired_, [&](const auto& one) { return one.get() == old; });
  });
}

void Service::wind_down(std::function<void()> ended) {
  if (winding_down_) return;
  winding_down_ = true;
  wound_down_ = std::move(ended);
  stop_at_ = loop_.now();
  callers_.wind_down();
  stop_.in(limits_.shutdown_accept_time);
}

// Connections between requests stay open until the door closes: clients go on using them, and new ones still
// come here. Then they are ended, and the program leaves once the last answer has been read.
void Service::check_wound_down() {
  const bool closed = callers_.close_door();
  callers_.part_idle();
  const Span since = loop_.now() - stop_at_;
  if (since > limits_.shutdown_timeout) {  // whoever still waits gets an answer, and a moment to read it
    for (RequestId id = 0; id < hits_.places(); ++id) {
      if (hits_[id].live && hits_[id].caller) overdue(id);
    }
  }
  const bool over = closed && in_hand_ == 0 && callers_.empty();
  if (!over && since <= limits_.shutdown_timeout + limits_.min_idle_before_close)
    return stop_.in(Span::ms(20));
  note_("idle clients let go " + std::to_string(callers_.parted()) + ", crossed by a request " +
        std::to_string(callers_.crossed()));
  wound_down_();
}

}  // namespace ashbeam
