#include "transport/tls.hpp"

#include <openssl/bio.h>
#include <openssl/core_names.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <set>
#include <stdexcept>

#include "tokens/keys.hpp"

namespace ashbeam {

namespace {

constexpr int kDeepestChain = 4;
constexpr long kLongestChain = 16 * 1024;  // bytes
constexpr std::size_t kMostRevoked = 100'000;
constexpr std::size_t kMostIntermediates = 64;  // remembered
constexpr std::size_t kMostKinds = 32;          // of complaints

struct Free {
  void operator()(SSL_CTX* p) const { SSL_CTX_free(p); }
  void operator()(SSL* p) const { SSL_free(p); }
  void operator()(X509* p) const { X509_free(p); }
  void operator()(X509_CRL* p) const { X509_CRL_free(p); }
  void operator()(X509_STORE* p) const { X509_STORE_free(p); }
  void operator()(X509_STORE_CTX* p) const { X509_STORE_CTX_free(p); }
  void operator()(EVP_PKEY* p) const { EVP_PKEY_free(p); }
  void operator()(BIO* p) const { BIO_free(p); }
  void operator()(BIGNUM* p) const { BN_free(p); }
  void operator()(STACK_OF(X509) * p) const { sk_X509_pop_free(p, X509_free); }
};
template <class T>
using Owned = std::unique_ptr<T, Free>;

std::string last_reason() {
  const char* const reason = ERR_reason_error_string(ERR_peek_last_error());
  const std::string text = reason ? reason : "broken off";
  ERR_clear_error();
  return text;
}

Owned<BIO> memory(const std::string& bytes) {
  return Owned<BIO>(BIO_new_mem_buf(bytes.data(), static_cast<int>(bytes.size())));
}

// No terminal is asked for a pass phrase.
int no_phrase(char*, int, int, void*) { return -1; }

std::string hex_of(std::string_view bytes) {
  std::string all;
  for (const char c : bytes) {
    constexpr char kHex[] = "0123456789abcdef";
    all += kHex[static_cast<unsigned char>(c) >> 4U];
    all += kHex[static_cast<unsigned char>(c) & 15U];
  }
  return all;
}

std::string serial_of(X509* x) {
  const Owned<BIGNUM> n(ASN1_INTEGER_to_BN(X509_get0_serialNumber(x), nullptr));
  char* const hex = BN_bn2hex(n.get());
  std::string text(hex);
  OPENSSL_free(hex);
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text.substr(std::min(text.find_first_not_of('0'), text.size() - 1));
}

std::string key_hash_of(X509* x) {
  unsigned char* der = nullptr;
  const int size = i2d_X509_PUBKEY(X509_get_X509_PUBKEY(x), &der);
  if (size <= 0) return {};
  const auto d = tokens::sha256({reinterpret_cast<char*>(der), static_cast<std::size_t>(size)});
  OPENSSL_free(der);
  return hex_of({reinterpret_cast<const char*>(d.data()), d.size()});
}

std::string name_part(X509* x, int nid) {
  const X509_NAME* const name = X509_get_subject_name(x);
  const int at = X509_NAME_get_index_by_NID(name, nid, -1);
  if (at < 0) return {};
  unsigned char* text = nullptr;
  const int size = ASN1_STRING_to_UTF8(&text, X509_NAME_ENTRY_get_data(X509_NAME_get_entry(name, at)));
  if (size < 0) return {};
  const std::string all(reinterpret_cast<char*>(text), static_cast<std::size_t>(size));
  OPENSSL_free(text);
  // Guards against names that others would read up to a zero only.
  return all.size() > 128 || all.find('\0') != std::string::npos ? std::string() : all;
}

Instant time_of(const ASN1_TIME* t) {
  std::tm parts{};
  return ASN1_TIME_to_tm(t, &parts) == 1
             ? Instant::at_us(static_cast<std::int64_t>(::timegm(&parts)) * 1'000'000)
             : Instant();
}

Span thread_cpu() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return Span::us(static_cast<std::int64_t>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000);
}

// A list that is past its next update still says what it says; that it is missing for one signer says
// nothing.
int soften(int good, X509_STORE_CTX* ctx) {
  const int error = X509_STORE_CTX_get_error(ctx);
  if (good == 1 || (error != X509_V_ERR_CRL_HAS_EXPIRED && error != X509_V_ERR_UNABLE_TO_GET_CRL))
    return good;
  X509_STORE_CTX_set_error(ctx, X509_V_OK);
  return 1;
}

int select_protocol(SSL*, const unsigned char** out, unsigned char* size, const unsigned char* in,
                    unsigned in_size, void*) {
  static const unsigned char kOurs[] = "\x08http/1.1";
  unsigned char* chosen = nullptr;
  if (SSL_select_next_proto(&chosen, size, kOurs, sizeof kOurs - 1, in, in_size) != OPENSSL_NPN_NEGOTIATED)
    return SSL_TLSEXT_ERR_ALERT_FATAL;  // RFC 7301, section 3.2
  *out = chosen;
  return SSL_TLSEXT_ERR_OK;
}

}  // namespace

// ---- Material ----

namespace {

struct FileError : std::runtime_error {
  FileError(const std::string& path, const std::string& why) : std::runtime_error(path + ": " + why) {}
};

}  // namespace

struct TlsCredentials::Parts {
  Owned<SSL_CTX> ctx;
  Owned<X509_STORE> store;
  std::set<std::string> serials, keys;             // revoked
  std::string trust;                               // what the trust was made of: the same is no other epoch
  Owned<STACK_OF(X509)> seen{sk_X509_new_null()};  // intermediates of verified chains, the loop's thread only

  bool revoked(X509* x) const { return serials.contains(serial_of(x)) || keys.contains(key_hash_of(x)); }

  void remember(STACK_OF(X509) * chain) {
    for (int i = 1; i + 1 < sk_X509_num(chain); ++i) {
      X509* const x = sk_X509_value(chain, i);
      bool known = false;
      for (int k = 0; k < sk_X509_num(seen.get()); ++k)
        known = known || X509_cmp(sk_X509_value(seen.get(), k), x) == 0;
      if (known) continue;
      if (sk_X509_num(seen.get()) >= static_cast<int>(kMostIntermediates))
        X509_free(sk_X509_shift(seen.get()));
      X509_up_ref(x);
      sk_X509_push(seen.get(), x);
    }
  }

  static int verify(X509_STORE_CTX* ctx, void* self) {
    auto* const parts = static_cast<Parts*>(self);
    if (X509_verify_cert(ctx) != 1) return 0;
    STACK_OF(X509)* const chain = X509_STORE_CTX_get0_chain(ctx);
    for (int i = 0; i < sk_X509_num(chain); ++i) {
      if (!parts->revoked(sk_X509_value(chain, i))) continue;
      X509_STORE_CTX_set_error(ctx, X509_V_ERR_CERT_REVOKED);
      return 0;
    }
    parts->remember(chain);
    return 1;
  }

  // A chain that was verified before, as the trust stands now. A resumed session has its leaf alone; what led
  // up to it was seen when it was verified first.
  bool still_good(X509* leaf, STACK_OF(X509) * sent) {
    const Owned<X509_STORE_CTX> context(X509_STORE_CTX_new());
    if (X509_STORE_CTX_init(context.get(), store.get(), leaf, sent ? sent : seen.get()) != 1) return false;
    X509_STORE_CTX_set_default(context.get(), "ssl_client");
    X509_VERIFY_PARAM_set_depth(X509_STORE_CTX_get0_param(context.get()), kDeepestChain);
    const bool good = verify(context.get(), this) == 1;
    ERR_clear_error();
    return good;
  }
};

namespace {

void read_revoked(const std::string& path, const std::string& text, std::set<std::string>& serials,
                  std::set<std::string>& keys) {
  std::size_t from = 0;
  for (unsigned line = 1; from < text.size(); ++line) {
    const std::size_t end = std::min(text.find('\n', from), text.size());
    std::string one = text.substr(from, end - from);
    from = end + 1;
    one.erase(std::min(one.find('#'), one.size()));
    std::erase_if(one, [](unsigned char c) { return std::isspace(c) != 0; });
    if (one.empty()) continue;
    std::transform(one.begin(), one.end(), one.begin(), [](unsigned char c) { return std::tolower(c); });
    const std::size_t colon = one.find(':');
    std::string hex = colon == std::string::npos ? "" : one.substr(colon + 1);
    const std::string kind = one.substr(0, colon);
    const bool good = !hex.empty() && hex.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!good || (kind != "serial" && kind != "key") || (kind == "key" && hex.size() != 64))
      throw FileError(path, "line " + std::to_string(line) + ": wanted serial:HEX or key:SHA-256 in HEX");
    if (kind == "serial") serials.insert(hex.substr(std::min(hex.find_first_not_of('0'), hex.size() - 1)));
    else keys.insert(hex);
    if (serials.size() + keys.size() > kMostRevoked) throw FileError(path, "more than 100000 entries");
  }
}

}  // namespace

TlsCredentials::TlsCredentials(const TlsSettings& terms, const TlsFiles& files)
    : parts_(std::make_unique<Parts>()) {
  Parts& p = *parts_;
  p.ctx.reset(SSL_CTX_new(TLS_server_method()));
  SSL_CTX* const ctx = p.ctx.get();
  if (!ctx) throw FileError(terms.certificate, "TLS can't be had: " + last_reason());
  SSL_CTX_set_min_proto_version(ctx, terms.only_13 ? TLS1_3_VERSION : TLS1_2_VERSION);
  SSL_CTX_set_options(ctx, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION | SSL_OP_CIPHER_SERVER_PREFERENCE |
                               SSL_OP_IGNORE_UNEXPECTED_EOF);
  SSL_CTX_set_mode(
      ctx, SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER | SSL_MODE_RELEASE_BUFFERS);
  SSL_CTX_set_read_ahead(ctx, 1);  // one read for a record, not one for its head besides
  SSL_CTX_set_session_cache_mode(ctx, SSL_SESS_CACHE_OFF);  // tickets hold the state, not we
  SSL_CTX_set_max_cert_list(ctx, kLongestChain);
  SSL_CTX_set_alpn_select_cb(ctx, select_protocol, nullptr);
  SSL_CTX_set_num_tickets(ctx, 1);
  SSL_CTX_set_timeout(ctx, static_cast<long>(terms.ticket_turn.s() * 2));
  SSL_CTX_set_session_id_context(ctx, reinterpret_cast<const unsigned char*>("ashbeam"), 7);

  const auto chain = memory(files.certificate);
  Owned<X509> leaf(PEM_read_bio_X509_AUX(chain.get(), nullptr, no_phrase, nullptr));
  if (!leaf || SSL_CTX_use_certificate(ctx, leaf.get()) != 1)
    throw FileError(terms.certificate, "no PEM certificate: " + last_reason());
  while (X509* const more = PEM_read_bio_X509(chain.get(), nullptr, no_phrase, nullptr))
    SSL_CTX_add0_chain_cert(ctx, more);
  ERR_clear_error();
  const Owned<EVP_PKEY> key(PEM_read_bio_PrivateKey(memory(files.key).get(), nullptr, no_phrase, nullptr));
  if (!key) throw FileError(terms.key, "no PEM private key: " + last_reason());
  if (SSL_CTX_use_PrivateKey(ctx, key.get()) != 1)
    throw FileError(terms.key, "does not belong to the certificate: " + last_reason());

  if (terms.clients == TlsSettings::Clients::kOff) return;
  p.store.reset(X509_STORE_new());
  p.trust = files.trust;
  const auto trusted = memory(files.trust);
  int count = 0;
  while (X509* const x = PEM_read_bio_X509(trusted.get(), nullptr, no_phrase, nullptr)) {
    X509_STORE_add_cert(p.store.get(), x);
    SSL_CTX_add_client_CA(ctx, x);
    X509_free(x);
    ++count;
  }
  ERR_clear_error();
  if (count == 0) throw FileError(terms.trust, "no PEM certificates");
  if (!terms.crl.empty()) {
    const auto from = memory(files.crl);
    count = 0;
    while (X509_CRL* const crl = PEM_read_bio_X509_CRL(from.get(), nullptr, no_phrase, nullptr)) {
      X509_STORE_add_crl(p.store.get(), crl);
      X509_CRL_free(crl);
      ++count;
    }
    ERR_clear_error();
    if (count == 0) throw FileError(terms.crl, "no PEM revocation lists");
    X509_STORE_set_flags(p.store.get(), X509_V_FLAG_CRL_CHECK);
    p.trust += files.crl;
  }
  if (!terms.revoked.empty()) {
    read_revoked(terms.revoked, files.revoked, p.serials, p.keys);
    p.trust += files.revoked;
  }
  X509_STORE_set_verify_cb(p.store.get(), soften);
  X509_STORE_up_ref(p.store.get());
  SSL_CTX_set_cert_store(ctx, p.store.get());
  SSL_CTX_set_cert_verify_callback(ctx, Parts::verify, &p);
  SSL_CTX_set_verify_depth(ctx, kDeepestChain);
  SSL_CTX_set_verify(
      ctx,
      SSL_VERIFY_PEER |
          (terms.clients == TlsSettings::Clients::kRequired ? SSL_VERIFY_FAIL_IF_NO_PEER_CERT : 0),
      nullptr);
}

TlsCredentials::~TlsCredentials() = default;

// ---- One connection ----

class TlsVeil : public TlsStream {
 public:
  TlsVeil(TlsAcceptor& door, std::shared_ptr<TlsCredentials> material, int fd,
          calling::HandshakeLimiter::Id id)
      : door_(door), material_(std::move(material)), ssl_(SSL_new(material_->parts_->ctx.get())), id_(id) {
    SSL_set_fd(ssl_.get(), fd);
    SSL_set_accept_state(ssl_.get());
    SSL_set_msg_callback(ssl_.get(), message);
    SSL_set_msg_callback_arg(ssl_.get(), this);
  }
  ~TlsVeil() override { over(); }

  Step shake() override {
    if (dropped_) return failed("gave way to another handshake");
    if (!door_.handshakes_.may_continue(id_, door_.loop_.now())) {
      door_.later();
      return Step::kLater;
    }
    ERR_clear_error();
    const Span before = thread_cpu();
    const int done = SSL_do_handshake(ssl_.get());
    door_.handshakes_.record_cpu(thread_cpu() - before, door_.loop_.now());
    if (done != 1) {
      const int why = SSL_get_error(ssl_.get(), done);
      if (why == SSL_ERROR_WANT_READ) return Step::kRead;
      if (why == SSL_ERROR_WANT_WRITE) return Step::kWrite;
      return failed(why == SSL_ERROR_SSL ? last_reason() : "broken off");
    }
    shaken_ = true;
    ++(SSL_session_reused(ssl_.get()) == 1 ? door_.counts_.resumed : door_.counts_.full);
    over();
    // A resumed session was proven under this epoch, or its ticket would not have been opened.
    epoch_ = door_.epoch_;
    if (material_ != door_.material_) epoch_ = 0;  // the trust changed during the handshake: looked at anew
    read_certificate();
    return Step::kDone;
  }
  void on_turn(std::function<void()> turn) override { turn_ = std::move(turn); }

  std::ptrdiff_t receive(char* to, std::size_t most) override {
    ERR_clear_error();
    std::size_t n = 0;
    if (SSL_read_ex(ssl_.get(), to, most, &n) == 1) return static_cast<std::ptrdiff_t>(n);
    return unfinished(0);
  }
  std::ptrdiff_t send(const char* from, std::size_t size) override {
    ERR_clear_error();
    std::size_t n = 0;
    if (SSL_write_ex(ssl_.get(), from, size, &n) == 1) return static_cast<std::ptrdiff_t>(n);
    return unfinished(0);
  }
  bool holds() const override { return SSL_has_pending(ssl_.get()) == 1; }
  void finish() override {
    if (!shaken_ || broken_) return;
    ERR_clear_error();
    SSL_shutdown(ssl_.get());
    ERR_clear_error();
  }

  PeerProof proof(Instant now) override {
    if (!leaf_) return {};
    if (epoch_ != door_.epoch_) {
      TlsCredentials::Parts& parts = *door_.material_->parts_;
      // Where clients are no longer asked for certificates, none proves anything.
      good_ = parts.store && parts.still_good(leaf_.get(), SSL_session_reused(ssl_.get()) == 1
                                                               ? nullptr
                                                               : SSL_get_peer_cert_chain(ssl_.get()));
      epoch_ = door_.epoch_;
    }
    return {&certificate_, !good_ || now + door_.loop_.wall_ahead() > certificate_.not_after};
  }

  void turn() {
    if (turn_) turn_();
  }
  void drop() {
    dropped_ = true;
    turn();
  }

 private:
  // Guards against clients that begin a handshake again and again on one connection: OpenSSL only warns them.
  static void message(int sent, int, int content, const void* bytes, std::size_t size, SSL*, void* self) {
    constexpr unsigned char kNoRenegotiation = 100;  // RFC 5246, section 7.2
    if (sent == 1 && content == SSL3_RT_ALERT && size == 2 &&
        static_cast<const unsigned char*>(bytes)[1] == kNoRenegotiation)
      static_cast<TlsVeil*>(self)->renegotiates_ = true;
  }
  Step failed(const std::string& why) {
    ++door_.counts_.failed;
    door_.complain(why == "http request" ? "plain HTTP on the TLS port" : why);
    over();
    return Step::kFailed;
  }
  void over() {
    if (id_ != calling::HandshakeLimiter::kNone) door_.over(this);
    id_ = calling::HandshakeLimiter::kNone;
  }
  std::ptrdiff_t unfinished(int result) {
    const int why = SSL_get_error(ssl_.get(), result);
    if (why == SSL_ERROR_ZERO_RETURN) return 0;
    if (renegotiates_) {
      door_.complain("renegotiation");
      broken_ = true;
      errno = ECONNRESET;
      return -1;
    }
    if (why == SSL_ERROR_WANT_READ || why == SSL_ERROR_WANT_WRITE) {
      errno = EAGAIN;
      return -1;
    }
    if (why == SSL_ERROR_SSL) door_.complain(last_reason());
    broken_ = true;
    errno = ECONNRESET;
    return -1;
  }
  void read_certificate() {
    leaf_.reset(SSL_get1_peer_certificate(ssl_.get()));
    if (!leaf_) return;
    certificate_.organisation = name_part(leaf_.get(), NID_organizationName);
    certificate_.common_name = name_part(leaf_.get(), NID_commonName);
    unsigned size = 32;
    X509_digest(leaf_.get(), EVP_sha256(), certificate_.sha256.data(), &size);
    certificate_.not_before = time_of(X509_get0_notBefore(leaf_.get()));
    certificate_.not_after = time_of(X509_get0_notAfter(leaf_.get()));
  }

  friend class TlsAcceptor;
  TlsAcceptor& door_;
  std::shared_ptr<TlsCredentials> material_;  // outlives ssl_
  Owned<SSL> ssl_;
  Owned<X509> leaf_;
  calling::HandshakeLimiter::Id id_;
  bool shaken_ = false, dropped_ = false, broken_ = false, good_ = true, renegotiates_ = false;
  std::uint64_t epoch_ = 0;  // of the trust that `good_` was said under
  calling::ClientCertificate certificate_;
  std::function<void()> turn_;
};

// ---- The door ----

TlsAcceptor::TlsAcceptor(EventLoop& loop, const TlsSettings& terms, std::shared_ptr<TlsCredentials> material,
                         Note note)
    : loop_(loop), terms_(terms), note_(std::move(note)), current_(fresh_key(loop.now(), 1)),
      previous_(current_), handshakes_(terms.handshakes, terms.handshake_cpu, Span::ms(100)),
      later_(loop, [this] {
        for (calling::HandshakeLimiter::Id id;
             (id = handshakes_.next_waiting(loop_.now())) != calling::HandshakeLimiter::kNone;) {
          const auto at = under_way_.find(id);
          if (at != under_way_.end()) at->second->turn();
        }
        later();
      }) {
  adopt(std::move(material));
}

TlsAcceptor::~TlsAcceptor() = default;

void TlsAcceptor::adopt(std::shared_ptr<TlsCredentials> material) {
  material_ = std::move(material);
  SSL_CTX* const ctx = material_->parts_->ctx.get();
  SSL_CTX_set_app_data(ctx, this);
  SSL_CTX_set_tlsext_ticket_key_evp_cb(ctx, ticket);
}

void TlsAcceptor::take(const TlsSettings& terms, std::shared_ptr<TlsCredentials> material) {
  const bool other = material->parts_->trust != material_->parts_->trust || terms.clients != terms_.clients;
  for (int i = 0; i < sk_X509_num(material_->parts_->seen.get()); ++i) {
    X509* const x = sk_X509_value(material_->parts_->seen.get(), i);
    X509_up_ref(x);
    sk_X509_push(material->parts_->seen.get(), x);
  }
  terms_ = terms;
  handshakes_.set_limits(terms.handshakes, terms.handshake_cpu);
  adopt(std::move(material));
  if (other) ++epoch_;
  note_("tls: certificates read again, trust " + std::string(other ? "changed" : "as it was") + ", epoch " +
        std::to_string(epoch_));
}

std::unique_ptr<TlsStream> TlsAcceptor::veil(int fd) {
  const auto begun = handshakes_.start(loop_.now());
  if (begun.evicted != calling::HandshakeLimiter::kNone) {
    const auto out = under_way_.find(begun.evicted);
    if (out != under_way_.end()) out->second->drop();
  }
  if (begun.id == calling::HandshakeLimiter::kNone) {
    ++counts_.turned_away;
    complain("too many handshakes under way");
    return nullptr;
  }
  auto one = std::make_unique<TlsVeil>(*this, material_, fd, begun.id);
  under_way_.emplace(begun.id, one.get());
  return one;
}

void TlsAcceptor::over(TlsVeil* veil) {
  under_way_.erase(veil->id_);
  handshakes_.finish(veil->id_);
}

void TlsAcceptor::later() {
  if (handshakes_.any_waiting() && !later_.armed())
    later_.in(std::max(Span::ms(1), handshakes_.wait(loop_.now())));
}

void TlsAcceptor::complain(const std::string& kind) {
  const Instant now = loop_.now();
  if (!complaints_.contains(kind) && complaints_.size() >= kMostKinds) return;
  Complaint& c = complaints_[kind];
  if (now - c.told < Span::s(1)) return void(++c.more);
  note_("tls: " + kind + (c.more > 0 ? ", and " + std::to_string(c.more) + " more since" : ""));
  c = {now, 0};
}

// ---- Tickets ----

TlsAcceptor::TicketKey TlsAcceptor::fresh_key(Instant now, std::uint64_t epoch) {
  TicketKey k{};
  RAND_bytes(k.name, sizeof k.name);
  RAND_priv_bytes(k.cipher, sizeof k.cipher);
  RAND_priv_bytes(k.mac, sizeof k.mac);
  k.made = now, k.epoch = epoch;
  return k;
}

const TlsAcceptor::TicketKey& TlsAcceptor::ticket_key() {
  const Instant now = loop_.now();
  if (now - current_.made > terms_.ticket_turn || current_.epoch != epoch_) {
    previous_ = current_;
    current_ = fresh_key(now, epoch_);
  }
  return current_;
}

int TlsAcceptor::ticket(SSL* ssl, unsigned char* name, unsigned char* iv, EVP_CIPHER_CTX* cipher,
                        EVP_MAC_CTX* mac, int sealing) {
  auto* const door = static_cast<TlsAcceptor*>(SSL_CTX_get_app_data(SSL_get_SSL_CTX(ssl)));
  const TicketKey& current = door->ticket_key();
  const TicketKey* key = &current;
  TicketKey thrown_away;
  if (sealing == 1) {
    // A handshake that began before the trust changed was proven under the trust before: its ticket must not
    // open under this epoch, and none at all is not allowed (RFC 8446, section 4.6.1).
    if (SSL_get_SSL_CTX(ssl) != door->material_->parts_->ctx.get()) {
      thrown_away = fresh_key(door->loop_.now(), 0);
      key = &thrown_away;
    }
    std::memcpy(name, key->name, sizeof key->name);
    if (RAND_bytes(iv, EVP_MAX_IV_LENGTH) != 1) return -1;
  } else {
    if (std::memcmp(name, current.name, sizeof current.name) != 0) key = &door->previous_;
    const bool known = std::memcmp(name, key->name, sizeof key->name) == 0;
    if (!known || key->epoch != door->epoch_ || door->loop_.now() - key->made > door->terms_.ticket_turn * 2)
      return 0;
  }
  char digest[] = "SHA256";
  OSSL_PARAM params[] = {OSSL_PARAM_construct_octet_string(
                             OSSL_MAC_PARAM_KEY, const_cast<unsigned char*>(key->mac), sizeof key->mac),
                         OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
                         OSSL_PARAM_construct_end()};
  if (EVP_MAC_CTX_set_params(mac, params) != 1 ||
      EVP_CipherInit_ex(cipher, EVP_aes_256_cbc(), nullptr, key->cipher, iv, sealing) != 1)
    return -1;
  // RFC 8446, appendix C.4: a ticket is used once, so each use brings a new one.
  return sealing == 1 || (key == &current && SSL_version(ssl) < TLS1_3_VERSION) ? 1 : 2;
}

}  // namespace ashbeam
