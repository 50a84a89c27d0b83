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
constexpr Duration kRevokedClientLifetime = Duration::s(5);  // until it is removed
constexpr Duration kTokenLifetime = Duration::s(5);
constexpr Duration kTokenRenewal = Duration::s(3);
constexpr Duration kMaxAnswerTime = Duration::s(2);
constexpr double kRetiredKeyListedS = 4;  // two rotations

bool has_certificate(CredentialKind kind) {
  return kind == CredentialKind::kCertificate || kind == CredentialKind::kBoundToken ||
         kind == CredentialKind::kRevokedCertificate;
}

bool is_revoked_kind(CredentialKind kind) {
  return kind == CredentialKind::kRevokedCertificate || kind == CredentialKind::kRevokedKey;
}

std::string revoked_kid(const std::string& subject) { return "d" + subject; }

}  // namespace

const char* credential_name(CredentialKind kind) {
  switch (kind) {
    case CredentialKind::kNone:
      return "none";
    case CredentialKind::kToken:
      return "token";
    case CredentialKind::kCertificate:
      return "mtls";
    case CredentialKind::kBoundToken:
      return "bound";
    case CredentialKind::kRevokedCertificate:
      return "doomed-cert";
    case CredentialKind::kRevokedKey:
      return "doomed-key";
  }
  return "?";
}

AccessLoad::AccessLoad(const Proof& proof, OperatorFiles& files)
    : proof_(proof), files_(files), random_(proof.seed), surroundings_(loop_, limits_),
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
  rotate_keys();  // the first key signs, the second is listed for the next rotation
  router_ = std::make_unique<RouterThread>(
      router_configuration(kMaxAttempts, kRequestClasses), surroundings_.instance_settings(),
      [this](const RouterThread::Parts& router) {
        auto reloads = std::make_shared<AccessReloads>(router, files_.path("ashbeam.cue"));
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
    // A request that was sent less than kMaxAnswerTime ago may still be answered.
    if (client->client->is_busy() && loop_.now() - client->sent_at > kMaxAnswerTime) ++counts_.unanswered;
  }
  return counts_;
}

fakes::EndpointAnswer AccessLoad::serve(const http::Head& head) {
  fakes::EndpointAnswer served;
  served.delay = Duration::ms(10 + random_.next_below(10));
  const bool is_unsafe = head.target().starts_with("/pay");
  if (is_unsafe && !unsafe_ids_run_.insert(std::string(*head.find("X-Correlation-Id"))).second)
    ++counts_.duplicates;
  served.body = std::string(head.find("X-Caller").value_or("-"));
  return served;
}

// ---- Clients ----

void AccessLoad::add_clients() {
  constexpr CredentialKind kKinds[] = {CredentialKind::kNone, CredentialKind::kToken,
                                       CredentialKind::kCertificate, CredentialKind::kBoundToken};
  for (unsigned i = 0; i < kClients; ++i) {
    auto client = std::make_unique<LoadClient>(*this, kKinds[i % 4], "caller" + std::to_string(i));
    if (has_certificate(client->kind))
      client->identity = files_.authority.issue("shop", client->subject, Duration::s(3600));
    connect(*client, i % 8 >= 4);
    client->timer.schedule_after(Duration::ms(10 + 3 * i));
    clients_.push_back(std::move(client));
  }
}

void AccessLoad::connect(LoadClient& client, bool resume) {
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
  const CredentialKind kind =
      number % 2 == 0 ? CredentialKind::kRevokedCertificate : CredentialKind::kRevokedKey;
  auto client = std::make_unique<LoadClient>(*this, kind, std::to_string(number));
  if (kind == CredentialKind::kRevokedCertificate) {
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
  client->timer.schedule_after(Duration::ms(250));  // by then the router has read its key
  clients_.push_back(std::move(client));
}

// ---- Keys and certificates ----

// Lists each key one rotation before it signs, and retires the previous signing key. A retired key is removed
// from the list two rotations later; every other rotation removes all keys that were retired before. The
// router must then remember the removed keys.
void AccessLoad::rotate_keys() {
  rotate_timer_.schedule_after(kRotationInterval);
  const double now_s = static_cast<double>(loop_.now().us()) / 1e6;
  if (!listed_keys_.empty()) signing_key_ = listed_keys_.back();
  for (tokens::KeyEntry& entry : listed_keys_) {
    const bool rotates = entry.kid[0] == 'k';
    if (rotates && entry.kid != signing_key_.kid && entry.retired_at_unix_s == 0)
      entry.retired_at_unix_s = std::ceil(now_s);
  }
  const double listed_s = rotations_ % 2 == 0 ? 0 : kRetiredKeyListedS;
  std::erase_if(listed_keys_, [&](const tokens::KeyEntry& entry) {
    return entry.retired_at_unix_s > 0 && entry.retired_at_unix_s + listed_s < now_s;
  });
  tokens::KeyEntry new_key;
  new_key.kid = "k" + std::to_string(++rotations_);
  new_key.key =
      tokens::Key::generate(rotations_ % 2 == 0 ? tokens::Algorithm::kEdDsa : tokens::Algorithm::kEs256);
  listed_keys_.push_back(new_key);
  ++counts_.key_rotations;
  files_.write_keys(listed_keys_);
}

// Revokes the certificate or the key of the newest client to be revoked, and adds the next such client.
// Certificates and keys alternate.
void AccessLoad::revoke() {
  revoke_timer_.schedule_after(kRevocationInterval);
  revoke_newest();
  remove_revoked_clients();
  add_client_to_revoke();
}

void AccessLoad::revoke_newest() {
  for (const auto& client : clients_) {
    if (!is_revoked_kind(client->kind) || client->revocation) continue;
    if (client->kind == CredentialKind::kRevokedCertificate) {
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
    record_revocation(*client);
  }
}

// Records the time of the revocation, whose file is complete, and makes the router reload its files.
void AccessLoad::record_revocation(LoadClient& client) {
  client.revocation = std::make_shared<Revocation>();
  client.revocation->written_at = loop_.now();
  router_->post([this, revocation = client.revocation] { reloads_->reload(revocation); });
}

// Removes revoked clients kRevokedClientLifetime after their revocation. Until then they keep sending and
// have to be refused. Their keys are removed from the list, and must stay revoked.
void AccessLoad::remove_revoked_clients() {
  const Instant now = loop_.now();
  std::erase_if(clients_, [&](const auto& client) {
    const auto& revocation = client->revocation;
    if (!revocation || revocation->in_force_us == 0) return false;
    if (revocation->written_at >= now - kRevokedClientLifetime || client->client->is_busy()) return false;
    const Duration in_force_after = Instant::at_us(revocation->in_force_us) - revocation->written_at;
    counts_.max_in_force_ms = std::max(counts_.max_in_force_ms, in_force_after.ms());
    std::erase_if(listed_keys_,
                  [&](const tokens::KeyEntry& entry) { return entry.kid == revoked_kid(client->subject); });
    return true;
  });
}

std::string AccessLoad::sign(const tokens::KeyEntry& signer, const LoadClient& client, Duration lifetime) {
  const std::int64_t now_s = loop_.now().us() / 1'000'000;
  std::string claims = R"({"aud":"ashbeam","tenant":"shop","sub":")" + client.subject + R"(","iat":)" +
                       std::to_string(now_s) + R"(,"exp":)" +
                       std::to_string(now_s + static_cast<std::int64_t>(lifetime.s()));
  if (client.kind == CredentialKind::kBoundToken)
    claims += R"(,"cnf":{"x5t#S256":")" + client.identity.thumbprint + "\"}";
  return tokens::sign_token(signer.key, signer.kid, claims + "}");
}

// ---- Requests ----

void AccessLoad::begin_request(LoadClient& client) {
  const Instant now = loop_.now();
  client.timer.schedule_after(Duration::ms(30 + random_.next_below(30)));
  if (client.client->is_busy()) return;
  const bool renews = client.kind == CredentialKind::kToken || client.kind == CredentialKind::kBoundToken;
  if (renews && client.renew_token_at < now) {
    client.token = sign(signing_key_, client, kTokenLifetime);
    client.renew_token_at = now + kTokenRenewal;
  }
  client.request_id = "p" + std::to_string(++request_ids_);
  client.retried = false;
  client.sent_at = now;
  client.sent_when_revoked = client.revocation && client.revocation->in_force_us > 0;
  ++counts_.sent;
  send(client);
}

void AccessLoad::send(LoadClient& client) {
  const bool is_unsafe = random_.next_below(4) == 0;
  std::string fields = " HTTP/1.1\r\nHost: p\r\nX-Account: shop\r\nX-Correlation-Id: " + client.request_id +
                       "\r\nX-Time-Left-Ms: 1500\r\n";
  if (!client.token.empty()) fields += "Authorization: Bearer " + client.token + "\r\n";
  const std::string request =
      is_unsafe ? "POST /pay" + fields + "Content-Length: 2\r\n\r\nhi" : "GET /look/1" + fields + "\r\n";
  client.client->send(request,
                      [this, &client](const fakes::Client::Answer& answer) { on_answer(client, answer); });
}

void AccessLoad::on_answer(LoadClient& client, const fakes::Client::Answer& answer) {
  const bool served = answer.status == 200;
  if (served) ++counts_.served_by_kind[credential_name(client.kind)];
  if (client.kind == CredentialKind::kNone) {
    if (served) ++counts_.unauthenticated_served;
    if (answer.status == 0) ++counts_.unanswered;
  } else if (is_revoked_kind(client.kind)) {
    if (client.sent_when_revoked) ++(served ? counts_.revoked_served : counts_.revoked_refused);
    // Reconnects sometimes, so that new handshakes and resumed sessions are tested, too.
    if (random_.next_below(3) == 0) client.client->disconnect();
  } else {
    on_valid_client_answer(client, answer);
  }
}

void AccessLoad::on_valid_client_answer(LoadClient& client, const fakes::Client::Answer& answer) {
  if (answer.status == 200) {
    if (client.client->has_resumed_session()) ++counts_.resumed;
    (is_flooding() ? counts_.flood_ms : counts_.normal_ms).push_back((loop_.now() - client.sent_at).ms());
    if (random_.next_below(20) == 0) client.client->disconnect();
    return;
  }
  if (answer.status == 0) {  // an idle close may cross the request: retry once, on a new connection
    if (client.retried) {
      ++counts_.unanswered;
      return;
    }
    client.retried = true;
    send(client);
    return;
  }
  const bool refused = answer.status == 401 || answer.status == 403 || answer.status == 429;
  ++(refused ? counts_.valid_refused : counts_.valid_failed);
  if (refused && counts_.valid_refused <= 5) {
    const std::string reason(answer.message->head().find("WWW-Authenticate").value_or(""));
    std::printf("# valid credentials (%s) refused with status %u: %s\n", credential_name(client.kind),
                answer.status, reason.c_str());
  }
}

}  // namespace ashbeam
