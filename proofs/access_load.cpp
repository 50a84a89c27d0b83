#include "access_load.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "tokens/jws.hpp"

namespace ashbeam {

namespace {

constexpr const char* kRequestClasses =
    R"([{"name":"look","effect":"idempotent","goalTimeMs":300,"deadlineMs":1500,"worth":1},
            {"name":"pay","effect":"at_most_once","goalTimeMs":300,"deadlineMs":1500,"worth":2}])";
constexpr unsigned kEndpoints = 4;
constexpr unsigned kClients = 32;
constexpr unsigned kMaxAttempts = 3;
constexpr Duration kRotationInterval = Duration::s(2);
constexpr Duration kRevocationInterval = Duration::ms(400);
constexpr Duration kRevokedClientLifetime = Duration::s(5);  // after its revocation
constexpr Duration kTokenLifetime = Duration::s(5);
constexpr Duration kTokenRenewal = Duration::s(3);
constexpr Duration kLongestAnswer = Duration::s(2);
constexpr double kKeptListedS = 4;  // two rotations

bool has_certificate(ProofKind kind) {
  return kind == ProofKind::kCertificate || kind == ProofKind::kBoundToken ||
         kind == ProofKind::kRevokedCertificate;
}

bool is_revoked_kind(ProofKind kind) {
  return kind == ProofKind::kRevokedCertificate || kind == ProofKind::kRevokedKey;
}

std::string revoked_kid(const std::string& subject) { return "d" + subject; }

}  // namespace

const char* name_of(ProofKind kind) {
  switch (kind) {
    case ProofKind::kNone:
      return "none";
    case ProofKind::kToken:
      return "token";
    case ProofKind::kCertificate:
      return "mtls";
    case ProofKind::kBoundToken:
      return "bound";
    case ProofKind::kRevokedCertificate:
      return "doomed-cert";
    case ProofKind::kRevokedKey:
      return "doomed-key";
  }
  return "?";
}

AccessLoad::AccessLoad(const Proof& proof, OperatorFiles& files)
    : proof_(proof), files_(files), chance_(proof.seed), surroundings_(loop_, limits_),
      rotate_timer_(loop_, [this] { rotate_keys(); }), revoke_timer_(loop_, [this] { revoke(); }),
      end_timer_(loop_, [this] { loop_.stop(); }),
      flood_begin_timer_(loop_,
                         [this] {
                           flood_ = std::make_unique<TokenFlood>(router_->address(), signing_key_.kid,
                                                                 proof_.seed);
                         }),
      flood_end_timer_(loop_, [this] { counts_.flood = std::exchange(flood_, nullptr)->stop(); }) {
  for (unsigned i = 0; i < kEndpoints; ++i) {
    surroundings_.add_endpoint([this](const http::Head& head, const std::string&) { return serve(head); });
  }
  rotate_keys();
  rotate_keys();  // one that signs, and one that is coming
  router_ = std::make_unique<RouterThread>(router_configuration(kMaxAttempts, kRequestClasses),
                                           surroundings_.site(), [this](const RouterThread::Parts& router) {
                                             auto reloads = std::make_shared<AccessReloads>(
                                                 router, files_.path("ashbeam.cue"));
                                             reloads_ = reloads.get();
                                             return reloads;
                                           });
}

AccessCounts AccessLoad::run() {
  add_clients();
  flood_begin_timer_.schedule_after(Duration::s(proof_.seconds / 3));
  flood_end_timer_.schedule_after(Duration::s(proof_.seconds * 2 / 3));
  rotate_timer_.schedule_after(kRotationInterval);
  revoke_timer_.schedule_after(Duration::ms(300));
  end_timer_.schedule_after(Duration::s(proof_.seconds));
  loop_.run();
  for (const auto& client : clients_) {
    counts_.answered_twice += client->client->unexpected_data_count();
    // A request that was sent less than the longest time ago may still be waiting.
    if (client->client->is_busy() && loop_.now() - client->sent_at > kLongestAnswer) ++counts_.unanswered;
  }
  return counts_;
}

fakes::EndpointAnswer AccessLoad::serve(const http::Head& head) {
  fakes::EndpointAnswer served;
  served.delay = Duration::ms(10 + chance_.next_below(10));
  const bool is_unsafe = head.target().starts_with("/pay");
  if (is_unsafe && !unsafe_ids_run_.insert(std::string(*head.find("X-Correlation-Id"))).second)
    ++counts_.duplicates;
  served.body = std::string(head.find("X-Caller").value_or("-"));
  return served;
}

// ---- Clients ----

void AccessLoad::add_clients() {
  constexpr ProofKind kKinds[] = {ProofKind::kNone, ProofKind::kToken, ProofKind::kCertificate,
                                  ProofKind::kBoundToken};
  for (unsigned i = 0; i < kClients; ++i) {
    auto client = std::make_unique<ProvenClient>(*this, kKinds[i % 4], "caller" + std::to_string(i));
    if (has_certificate(client->kind))
      client->identity = files_.authority.issue("shop", client->subject, Duration::s(3600));
    connect(*client, i % 8 >= 4);
    client->timer.schedule_after(Duration::ms(10 + 3 * i));
    clients_.push_back(std::move(client));
  }
}

void AccessLoad::connect(ProvenClient& client, bool resume) {
  if (has_certificate(client.kind)) {
    client.client = std::make_unique<fakes::Client>(
        loop_, limits_, router_->tls_address(),
        std::make_shared<fakes::ClientTls>(&client.identity, nullptr, resume));
  } else {
    client.client = std::make_unique<fakes::Client>(loop_, limits_, router_->address());
  }
}

void AccessLoad::add_client_to_revoke() {
  const unsigned number = ++clients_to_revoke_;
  const ProofKind kind = number % 2 == 0 ? ProofKind::kRevokedCertificate : ProofKind::kRevokedKey;
  auto client = std::make_unique<ProvenClient>(*this, kind, std::to_string(number));
  if (kind == ProofKind::kRevokedCertificate) {
    client->identity = files_.authority.issue("shop", "doomed", Duration::s(3600));
  } else {
    tokens::KeyEntry entry;
    entry.kid = revoked_kid(client->subject);
    entry.key = tokens::Key::generate(tokens::Algorithm::kEdDsa);
    listed_keys_.insert(listed_keys_.begin(), entry);
    client->token = sign(entry, *client, Duration::s(3600));
    client->renew_token_at = Instant::never();
    files_.write_keys(listed_keys_);
  }
  connect(*client, number % 4 == 0);
  client->timer.schedule_after(Duration::ms(250));  // by then its key is known
  clients_.push_back(std::move(client));
}

// ---- Keys and certificates ----

// The next key is listed one rotation before it signs; the one before retires, and is taken off the list two
// rotations later, some of them at once: the ring must then remember it.
void AccessLoad::rotate_keys() {
  rotate_timer_.schedule_after(kRotationInterval);
  const double now_s = static_cast<double>(loop_.now().us()) / 1e6;
  if (!listed_keys_.empty()) signing_key_ = listed_keys_.back();
  for (tokens::KeyEntry& entry : listed_keys_) {
    const bool rotates = entry.kid[0] == 'k';
    if (rotates && entry.kid != signing_key_.kid && entry.retired_at_unix_s == 0)
      entry.retired_at_unix_s = std::ceil(now_s);
  }
  const double kept_s = rotations_ % 2 == 0 ? 0 : kKeptListedS;
  std::erase_if(listed_keys_, [&](const tokens::KeyEntry& entry) {
    return entry.retired_at_unix_s > 0 && entry.retired_at_unix_s + kept_s < now_s;
  });
  tokens::KeyEntry fresh;
  fresh.kid = "k" + std::to_string(++rotations_);
  fresh.key =
      tokens::Key::generate(rotations_ % 2 == 0 ? tokens::Algorithm::kEdDsa : tokens::Algorithm::kEs256);
  listed_keys_.push_back(fresh);
  ++counts_.key_rotations;
  files_.write_keys(listed_keys_);
}

// Now a certificate, now a key, each of a client that has just begun to be served.
void AccessLoad::revoke() {
  revoke_timer_.schedule_after(kRevocationInterval);
  revoke_newest();
  forget_revoked();
  add_client_to_revoke();
}

void AccessLoad::revoke_newest() {
  for (const auto& client : clients_) {
    if (!is_revoked_kind(client->kind) || client->revocation) continue;
    if (client->kind == ProofKind::kRevokedCertificate) {
      const char* const label = counts_.certificates_revoked % 2 == 0 ? "serial:" : "serial: ";
      revoked_lines_ += label + client->identity.serial + "\n";
      files_.write_revoked(revoked_lines_);
      ++counts_.certificates_revoked;
    } else {
      for (tokens::KeyEntry& entry : listed_keys_) {
        if (entry.kid == revoked_kid(client->subject)) entry.revoked = true;
      }
      ++counts_.keys_revoked;
      files_.write_keys(listed_keys_);
    }
    note_revocation(*client);
  }
}

// The file is complete: the router is asked to read it.
void AccessLoad::note_revocation(ProvenClient& client) {
  client.revocation = std::make_shared<Revocation>();
  client.revocation->written_at = loop_.now();
  router_->post([this, revocation = client.revocation] { reloads_->reread(revocation); });
}

// For some seconds they go on to be refused; a revoked key is then taken off the list, and must stay revoked.
void AccessLoad::forget_revoked() {
  const Instant now = loop_.now();
  std::erase_if(clients_, [&](const auto& client) {
    const auto& revocation = client->revocation;
    if (!revocation || revocation->in_force_us == 0) return false;
    if (revocation->written_at >= now - kRevokedClientLifetime || client->client->is_busy()) return false;
    const Duration took = Instant::at_us(revocation->in_force_us) - revocation->written_at;
    counts_.max_in_force_ms = std::max(counts_.max_in_force_ms, took.ms());
    std::erase_if(listed_keys_,
                  [&](const tokens::KeyEntry& entry) { return entry.kid == revoked_kid(client->subject); });
    return true;
  });
}

std::string AccessLoad::sign(const tokens::KeyEntry& signer, const ProvenClient& client, Duration lifetime) {
  const std::int64_t now_s = loop_.now().us() / 1'000'000;
  std::string claims = R"({"aud":"ashbeam","tenant":"shop","sub":")" + client.subject + R"(","iat":)" +
                       std::to_string(now_s) + R"(,"exp":)" +
                       std::to_string(now_s + static_cast<std::int64_t>(lifetime.s()));
  if (client.kind == ProofKind::kBoundToken)
    claims += R"(,"cnf":{"x5t#S256":")" + client.identity.thumbprint + "\"}";
  return tokens::sign_token(signer.key, signer.kid, claims + "}");
}

// ---- Requests ----

void AccessLoad::begin_request(ProvenClient& client) {
  const Instant now = loop_.now();
  client.timer.schedule_after(Duration::ms(30 + chance_.next_below(30)));
  if (client.client->is_busy()) return;
  const bool renews = client.kind == ProofKind::kToken || client.kind == ProofKind::kBoundToken;
  if (renews && client.renew_token_at < now) {
    client.token = sign(signing_key_, client, kTokenLifetime);
    client.renew_token_at = now + kTokenRenewal;
  }
  client.request_id = "p" + std::to_string(++request_ids_);
  client.sent_again = false;
  client.sent_at = now;
  client.sent_when_revoked = client.revocation && client.revocation->in_force_us > 0;
  ++counts_.sent;
  send(client);
}

void AccessLoad::send(ProvenClient& client) {
  const bool is_unsafe = chance_.next_below(4) == 0;
  std::string fields = " HTTP/1.1\r\nHost: p\r\nX-Account: shop\r\nX-Correlation-Id: " + client.request_id +
                       "\r\nX-Time-Left-Ms: 1500\r\n";
  if (!client.token.empty()) fields += "Authorization: Bearer " + client.token + "\r\n";
  const std::string request =
      is_unsafe ? "POST /pay" + fields + "Content-Length: 2\r\n\r\nhi" : "GET /look/1" + fields + "\r\n";
  client.client->send(request,
                      [this, &client](const fakes::Client::Answer& answer) { take_answer(client, answer); });
}

void AccessLoad::take_answer(ProvenClient& client, const fakes::Client::Answer& answer) {
  const bool served = answer.status == 200;
  if (served) ++counts_.served_by_kind[name_of(client.kind)];
  if (client.kind == ProofKind::kNone) {
    if (served) ++counts_.unproven_served;
    if (answer.status == 0) ++counts_.unanswered;
  } else if (is_revoked_kind(client.kind)) {
    if (client.sent_when_revoked) ++(served ? counts_.revoked_served : counts_.revoked_refused);
    // So that new handshakes and resumed sessions are tried, too.
    if (chance_.next_below(3) == 0) client.client->disconnect();
  } else {
    take_valid_answer(client, answer);
  }
}

void AccessLoad::take_valid_answer(ProvenClient& client, const fakes::Client::Answer& answer) {
  if (answer.status == 200) {
    if (client.client->has_resumed_session()) ++counts_.resumed;
    (flooding() ? counts_.flood_ms : counts_.calm_ms).push_back((loop_.now() - client.sent_at).ms());
    if (chance_.next_below(20) == 0) client.client->disconnect();
    return;
  }
  if (answer.status == 0) {  // closed as the request crossed it: once more, on a new connection
    if (client.sent_again) {
      ++counts_.unanswered;
      return;
    }
    client.sent_again = true;
    send(client);
    return;
  }
  const bool refused = answer.status == 401 || answer.status == 403 || answer.status == 429;
  ++(refused ? counts_.valid_refused : counts_.valid_failed);
  if (refused && counts_.valid_refused <= 5) {
    const std::string reason(answer.message->head().find("WWW-Authenticate").value_or(""));
    std::printf("# %s refused: %u %s\n", name_of(client.kind), answer.status, reason.c_str());
  }
}

}  // namespace ashbeam
