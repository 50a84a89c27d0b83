#include "fakes/certificate_authority.hpp"

#include <openssl/bio.h>
#include <openssl/bn.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstddef>
#include <stdexcept>

#include "tokens/base64url.hpp"

namespace ashbeam::fakes {

namespace {

constexpr Duration kAuthorityLifetime = Duration::s(86400);
constexpr long kNotBeforeOffsetS = -60;
constexpr long kRevocationListLifetimeS = 86400;
constexpr int kSerialBits = 120;
constexpr std::size_t kSha256Bytes = 32;

template <auto Free>
struct OpensslDeleter {
  template <class Object>
  void operator()(Object* object) const {
    Free(object);
  }
};
using BioPtr = std::unique_ptr<BIO, OpensslDeleter<BIO_free>>;
using BigNumberPtr = std::unique_ptr<BIGNUM, OpensslDeleter<BN_free>>;
using IntegerPtr = std::unique_ptr<ASN1_INTEGER, OpensslDeleter<ASN1_INTEGER_free>>;
using TimePtr = std::unique_ptr<ASN1_TIME, OpensslDeleter<ASN1_TIME_free>>;
using ExtensionPtr = std::unique_ptr<X509_EXTENSION, OpensslDeleter<X509_EXTENSION_free>>;
using RevocationListPtr = std::unique_ptr<X509_CRL, OpensslDeleter<X509_CRL_free>>;

enum class Role { kAuthority, kServer, kClient };

template <class Write>
std::string to_pem(Write&& write) {
  const BioPtr bio(BIO_new(BIO_s_mem()));
  write(bio.get());
  char* data = nullptr;
  const long size = BIO_get_mem_data(bio.get(), &data);
  return {data, static_cast<std::size_t>(size)};
}

void add_extension(X509* certificate, X509* issuer, int nid, const char* value) {
  X509V3_CTX context;
  X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
  const ExtensionPtr extension(X509V3_EXT_conf_nid(nullptr, &context, nid, value));
  if (!extension) throw std::runtime_error("invalid value of X.509 extension: " + std::string(value));
  X509_add_ext(certificate, extension.get(), -1);
}

void add_extensions(X509* certificate, X509* issuer, Role role, bool self_signed) {
  const bool is_authority = role == Role::kAuthority;
  add_extension(certificate, issuer, NID_basic_constraints,
                is_authority ? "critical,CA:TRUE" : "critical,CA:FALSE");
  add_extension(certificate, issuer, NID_key_usage,
                is_authority ? "critical,keyCertSign,cRLSign" : "critical,digitalSignature");
  if (!is_authority) {
    add_extension(certificate, issuer, NID_ext_key_usage,
                  role == Role::kServer ? "serverAuth" : "clientAuth");
  }
  add_extension(certificate, issuer, NID_subject_key_identifier, "hash");
  if (!self_signed) add_extension(certificate, issuer, NID_authority_key_identifier, "keyid:always");
}

// Sets a random serial number and returns it in hexadecimal.
std::string set_serial(X509* certificate) {
  const BigNumberPtr serial(BN_new());
  BN_rand(serial.get(), kSerialBits, BN_RAND_TOP_ONE, BN_RAND_BOTTOM_ANY);
  BN_to_ASN1_INTEGER(serial.get(), X509_get_serialNumber(certificate));
  char* const hex = BN_bn2hex(serial.get());
  std::string text = hex;
  OPENSSL_free(hex);
  return text;
}

void set_subject(X509* certificate, const std::string& organisation, const std::string& name) {
  X509_NAME* const subject = X509_get_subject_name(certificate);
  const auto add = [subject](const char* field, const std::string& text) {
    X509_NAME_add_entry_by_txt(subject, field, MBSTRING_UTF8,
                               reinterpret_cast<const unsigned char*>(text.data()),
                               static_cast<int>(text.size()), -1, 0);
  };
  if (!organisation.empty()) add("O", organisation);
  add("CN", name);
}

std::string compute_thumbprint(const X509* certificate) {
  unsigned char digest[kSha256Bytes];
  unsigned size = sizeof digest;
  X509_digest(certificate, EVP_sha256(), digest, &size);
  return tokens::encode_base64url({reinterpret_cast<char*>(digest), size});
}

// Creates a key and a certificate for it. `signer` is null for a self-signed certificate.
Identity make_identity(const std::string& organisation, const std::string& name, Duration lifetime, Role role,
                       const Identity* signer) {
  Identity identity;
  identity.key.reset(EVP_EC_gen("P-256"), EVP_PKEY_free);
  identity.certificate.reset(X509_new(), X509_free);
  X509* const certificate = identity.certificate.get();
  X509_set_version(certificate, X509_VERSION_3);
  identity.serial = set_serial(certificate);
  X509_gmtime_adj(X509_getm_notBefore(certificate), kNotBeforeOffsetS);
  X509_gmtime_adj(X509_getm_notAfter(certificate), static_cast<long>(lifetime.s()));
  X509_set_pubkey(certificate, identity.key.get());
  set_subject(certificate, organisation, name);
  X509* const issuer = signer ? signer->certificate.get() : certificate;
  X509_set_issuer_name(certificate, X509_get_subject_name(issuer));
  add_extensions(certificate, issuer, role, signer == nullptr);
  X509_sign(certificate, signer ? signer->key.get() : identity.key.get(), EVP_sha256());
  identity.certificate_pem = to_pem([&](BIO* bio) { PEM_write_bio_X509(bio, certificate); });
  identity.key_pem = to_pem([&](BIO* bio) {
    PEM_write_bio_PrivateKey(bio, identity.key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  });
  identity.thumbprint = compute_thumbprint(certificate);
  return identity;
}

}  // namespace

CertificateAuthority::CertificateAuthority(const std::string& name)
    : self_(make_identity("", name, kAuthorityLifetime, Role::kAuthority, nullptr)) {}

Identity CertificateAuthority::issue(const std::string& organisation, const std::string& name,
                                     Duration lifetime, bool server,
                                     const CertificateAuthority* intermediate) const {
  const Identity& signer = intermediate ? intermediate->self_ : self_;
  Identity identity =
      make_identity(organisation, name, lifetime, server ? Role::kServer : Role::kClient, &signer);
  if (intermediate) identity.certificate_pem += intermediate->self_.certificate_pem;
  return identity;
}

CertificateAuthority CertificateAuthority::intermediate(const std::string& name) const {
  CertificateAuthority authority;
  authority.self_ = make_identity("", name, kAuthorityLifetime, Role::kAuthority, &self_);
  return authority;
}

std::string CertificateAuthority::revocation_list(const std::string& serial) const {
  const RevocationListPtr list(X509_CRL_new());
  X509_CRL_set_version(list.get(), X509_CRL_VERSION_2);
  X509_CRL_set_issuer_name(list.get(), X509_get_subject_name(self_.certificate.get()));
  const TimePtr time(ASN1_TIME_new());
  X509_gmtime_adj(time.get(), kNotBeforeOffsetS);
  X509_CRL_set1_lastUpdate(list.get(), time.get());
  X509_gmtime_adj(time.get(), kRevocationListLifetimeS);
  X509_CRL_set1_nextUpdate(list.get(), time.get());
  BIGNUM* parsed = nullptr;
  BN_hex2bn(&parsed, serial.c_str());
  const BigNumberPtr number(parsed);
  const IntegerPtr integer(BN_to_ASN1_INTEGER(number.get(), nullptr));
  X509_REVOKED* const entry = X509_REVOKED_new();  // owned by the list once added
  X509_REVOKED_set_serialNumber(entry, integer.get());
  X509_gmtime_adj(time.get(), 0);
  X509_REVOKED_set_revocationDate(entry, time.get());
  X509_CRL_add0_revoked(list.get(), entry);
  X509_CRL_sign(list.get(), self_.key.get(), EVP_sha256());
  return to_pem([&](BIO* bio) { PEM_write_bio_X509_CRL(bio, list.get()); });
}

}  // namespace ashbeam::fakes
