#include "fakes/pki.hpp"

#include <openssl/bio.h>
#include <openssl/bn.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <stdexcept>

#include "tokens/base64url.hpp"

namespace ashbeam::fakes {

namespace {

template <class Write>
std::string pem_of(Write&& write) {
  BIO* const bio = BIO_new(BIO_s_mem());
  write(bio);
  char* data = nullptr;
  const long size = BIO_get_mem_data(bio, &data);
  std::string all(data, static_cast<std::size_t>(size));
  BIO_free(bio);
  return all;
}

void extend(X509* x, X509* issuer, int nid, const char* value) {
  X509V3_CTX ctx;
  X509V3_set_ctx(&ctx, issuer, x, nullptr, nullptr, 0);
  X509_EXTENSION* const e = X509V3_EXT_conf_nid(nullptr, &ctx, nid, value);
  if (!e) throw std::runtime_error("extension");
  X509_add_ext(x, e, -1);
  X509_EXTENSION_free(e);
}

Identity make(const std::string& organisation, const std::string& name, Span life, bool authority,
              bool server, const Identity* signer) {
  Identity id;
  id.key.reset(EVP_EC_gen("P-256"), EVP_PKEY_free);
  id.certificate.reset(X509_new(), X509_free);
  X509* const x = id.certificate.get();
  X509_set_version(x, 2);
  BIGNUM* const serial = BN_new();
  BN_rand(serial, 120, BN_RAND_TOP_ONE, BN_RAND_BOTTOM_ANY);
  BN_to_ASN1_INTEGER(serial, X509_get_serialNumber(x));
  char* const hex = BN_bn2hex(serial);
  id.serial = hex;
  OPENSSL_free(hex);
  BN_free(serial);
  X509_gmtime_adj(X509_getm_notBefore(x), -60);
  X509_gmtime_adj(X509_getm_notAfter(x), static_cast<long>(life.s()));
  X509_set_pubkey(x, id.key.get());
  X509_NAME* const subject = X509_get_subject_name(x);
  const auto add = [&](const char* field, const std::string& text) {
    X509_NAME_add_entry_by_txt(subject, field, MBSTRING_UTF8,
                               reinterpret_cast<const unsigned char*>(text.data()),
                               static_cast<int>(text.size()), -1, 0);
  };
  if (!organisation.empty()) add("O", organisation);
  add("CN", name);
  X509* const issuer = signer ? signer->certificate.get() : x;
  X509_set_issuer_name(x, X509_get_subject_name(issuer));
  extend(x, issuer, NID_basic_constraints, authority ? "critical,CA:TRUE" : "critical,CA:FALSE");
  extend(x, issuer, NID_key_usage, authority ? "critical,keyCertSign,cRLSign" : "critical,digitalSignature");
  if (!authority) extend(x, issuer, NID_ext_key_usage, server ? "serverAuth" : "clientAuth");
  extend(x, issuer, NID_subject_key_identifier, "hash");
  if (signer) extend(x, issuer, NID_authority_key_identifier, "keyid:always");
  X509_sign(x, signer ? signer->key.get() : id.key.get(), EVP_sha256());
  id.certificate_pem = pem_of([&](BIO* b) { PEM_write_bio_X509(b, x); });
  id.key_pem = pem_of(
      [&](BIO* b) { PEM_write_bio_PrivateKey(b, id.key.get(), nullptr, nullptr, 0, nullptr, nullptr); });
  unsigned char print[32];
  unsigned size = sizeof print;
  X509_digest(x, EVP_sha256(), print, &size);
  id.print = tokens::encode_base64url({reinterpret_cast<char*>(print), size});
  return id;
}

}  // namespace

Authority::Authority(const std::string& name) : self_(make("", name, Span::s(86400), true, false, nullptr)) {}

Identity Authority::issue(const std::string& organisation, const std::string& name, Span life, bool server,
                          const Authority* through) const {
  Identity id = make(organisation, name, life, false, server, through ? &through->self_ : &self_);
  if (through) id.certificate_pem += through->self_.certificate_pem;
  return id;
}

Authority Authority::intermediate(const std::string& name) const {
  Authority a;
  a.self_ = make("", name, Span::s(86400), true, false, &self_);
  return a;
}

std::string Authority::revocation_list(const std::string& serial) const {
  X509_CRL* const crl = X509_CRL_new();
  X509_CRL_set_version(crl, 1);
  X509_CRL_set_issuer_name(crl, X509_get_subject_name(self_.certificate.get()));
  ASN1_TIME* const at = ASN1_TIME_new();
  X509_gmtime_adj(at, -60);
  X509_CRL_set1_lastUpdate(crl, at);
  X509_gmtime_adj(at, 86400);
  X509_CRL_set1_nextUpdate(crl, at);
  X509_REVOKED* const one = X509_REVOKED_new();
  BIGNUM* n = nullptr;
  BN_hex2bn(&n, serial.c_str());
  ASN1_INTEGER* const number = BN_to_ASN1_INTEGER(n, nullptr);
  X509_REVOKED_set_serialNumber(one, number);
  X509_gmtime_adj(at, 0);
  X509_REVOKED_set_revocationDate(one, at);
  X509_CRL_add0_revoked(crl, one);
  X509_CRL_sign(crl, self_.key.get(), EVP_sha256());
  const std::string pem = pem_of([&](BIO* b) { PEM_write_bio_X509_CRL(b, crl); });
  ASN1_INTEGER_free(number);
  BN_free(n);
  ASN1_TIME_free(at);
  X509_CRL_free(crl);
  return pem;
}

// ---- The client side ----

class ClientVeil : public TlsStream {
 public:
  ClientVeil(ClientTls& tls, int fd) : tls_(tls), ctx_(tls.ctx_), ssl_(SSL_new(ctx_.get()), SSL_free) {
    SSL_set_fd(ssl_.get(), fd);
    SSL_set_connect_state(ssl_.get());
    SSL_set_app_data(ssl_.get(), &tls_);
    if (tls_.resume_ && tls_.session_) SSL_set_session(ssl_.get(), tls_.session_.get());
  }
  // A connection that is cut off would take its session with it; a client on the move is cut off all the
  // time.
  ~ClientVeil() override { SSL_set_shutdown(ssl_.get(), SSL_SENT_SHUTDOWN | SSL_RECEIVED_SHUTDOWN); }
  HandshakeStep handshake() override {
    ERR_clear_error();
    const int done = SSL_do_handshake(ssl_.get());
    if (done == 1) {
      tls_.resumed_ = SSL_session_reused(ssl_.get()) == 1;
      return HandshakeStep::kDone;
    }
    const int why = SSL_get_error(ssl_.get(), done);
    return why == SSL_ERROR_WANT_READ    ? HandshakeStep::kWantRead
           : why == SSL_ERROR_WANT_WRITE ? HandshakeStep::kWantWrite
                                         : HandshakeStep::kFailed;
  }
  void set_handshake_resume_callback(std::function<void()>) override {}
  IoResult receive(char* to, std::size_t most) override {
    ERR_clear_error();
    return told(SSL_read(ssl_.get(), to, static_cast<int>(most)));
  }
  IoResult send(const char* from, std::size_t size) override {
    ERR_clear_error();
    return told(SSL_write(ssl_.get(), from, static_cast<int>(size)));
  }
  bool has_buffered_bytes() const override { return SSL_pending(ssl_.get()) > 0; }
  void shutdown() override { SSL_shutdown(ssl_.get()); }
  PeerProof peer_proof(Instant) override { return {}; }

 private:
  IoResult told(int n) {
    if (n > 0) return IoResult::done(static_cast<std::size_t>(n));
    const int why = SSL_get_error(ssl_.get(), n);
    if (why == SSL_ERROR_ZERO_RETURN) return IoResult::ended();
    const bool waits = why == SSL_ERROR_WANT_READ || why == SSL_ERROR_WANT_WRITE;
    return waits ? IoResult::would_block() : IoResult::broken();
  }
  ClientTls& tls_;
  std::shared_ptr<SSL_CTX> ctx_;
  std::shared_ptr<SSL> ssl_;
};

ClientTls::ClientTls(const Identity* identity, const Identity* between, bool resume, int newest)
    : ctx_(SSL_CTX_new(TLS_client_method()), SSL_CTX_free), resume_(resume) {
  SSL_CTX_set_max_proto_version(ctx_.get(), newest);
  SSL_CTX_set_mode(ctx_.get(), SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
  if (identity) {
    SSL_CTX_use_certificate(ctx_.get(), identity->certificate.get());
    SSL_CTX_use_PrivateKey(ctx_.get(), identity->key.get());
  }
  if (between) SSL_CTX_add1_chain_cert(ctx_.get(), between->certificate.get());
  SSL_CTX_set_session_cache_mode(ctx_.get(), SSL_SESS_CACHE_CLIENT | SSL_SESS_CACHE_NO_INTERNAL);
  SSL_CTX_sess_set_new_cb(ctx_.get(), [](SSL* ssl, SSL_SESSION* session) {
    auto* const self = static_cast<ClientTls*>(SSL_get_app_data(ssl));
    self->session_.reset(session, SSL_SESSION_free);
    return 1;
  });
}

ClientTls::~ClientTls() = default;

std::unique_ptr<TlsStream> ClientTls::veil(int fd) { return std::make_unique<ClientVeil>(*this, fd); }

}  // namespace ashbeam::fakes
