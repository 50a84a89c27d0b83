#include "metadata/signing_key.hpp"

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>

#include <stdexcept>

#include "metadata/keys.hpp"

namespace ashbeam::metadata {

namespace {

constexpr std::size_t kMaxSignatureBytes = 1024;
constexpr std::size_t kEd25519KeyBytes = 32;
constexpr unsigned kRsaBits = 2048;

struct KeyTypeAndScheme {
  const char* type;
  const char* scheme;
};

KeyTypeAndScheme type_and_scheme_of(SigningKey::Kind kind) {
  switch (kind) {
    case SigningKey::Kind::kEd25519:
      return {"ed25519", "ed25519"};
    case SigningKey::Kind::kEcdsa:
      return {"ecdsa", "ecdsa-sha2-nistp256"};
    case SigningKey::Kind::kRsa:
      return {"rsa", "rsassa-pss-sha256"};
  }
  throw std::runtime_error("unknown kind of signing key: " + std::to_string(static_cast<int>(kind)));
}

EVP_PKEY* generate_key(SigningKey::Kind kind) {
  switch (kind) {
    case SigningKey::Kind::kEd25519:
      return EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519");
    case SigningKey::Kind::kEcdsa:
      return EVP_EC_gen("P-256");
    case SigningKey::Kind::kRsa:
      return EVP_RSA_gen(kRsaBits);
  }
  return nullptr;
}

std::string raw_public_hex(EVP_PKEY* key) {
  unsigned char raw[kEd25519KeyBytes];
  std::size_t size = sizeof raw;
  EVP_PKEY_get_raw_public_key(key, raw, &size);
  return to_hex({reinterpret_cast<char*>(raw), size});
}

std::string public_pem(EVP_PKEY* key) {
  const std::unique_ptr<BIO, decltype(&BIO_free)> output(BIO_new(BIO_s_mem()), BIO_free);
  PEM_write_bio_PUBKEY(output.get(), key);
  char* data = nullptr;
  const long size = BIO_get_mem_data(output.get(), &data);
  return {data, static_cast<std::size_t>(size)};
}

}  // namespace

SigningKey SigningKey::generate(Kind kind) {
  SigningKey key;
  key.kind_ = kind;
  key.key_.reset(generate_key(kind), EVP_PKEY_free);
  if (!key.key_)
    throw std::runtime_error("OpenSSL can't generate a key of type " +
                             std::string(type_and_scheme_of(kind).type));
  EVP_PKEY* const generated = key.key_.get();
  const std::string public_text = kind == Kind::kEd25519 ? raw_public_hex(generated) : public_pem(generated);
  const KeyTypeAndScheme type_and_scheme = type_and_scheme_of(kind);
  key.set_public_key_object(json_object({{"keytype", json_string(type_and_scheme.type)},
                                         {"scheme", json_string(type_and_scheme.scheme)},
                                         {"keyval", json_object({{"public", json_string(public_text)}})}}));
  return key;
}

void SigningKey::set_public_key_object(JsonNode object) {
  public_key_object_ = std::move(object);
  id_ = sha256_hex(public_key_object_.to_canonical_json());
}

SigningKey SigningKey::with_extra_member(const std::string& name) const {
  SigningKey key = *this;
  auto members = public_key_object_.members;
  members.push_back({name, json_string("1")});
  key.set_public_key_object(json_object(std::move(members)));
  return key;
}

std::string SigningKey::sign(std::string_view bytes) const {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_PKEY_CTX* options = nullptr;  // owned by `context`
  const EVP_MD* const digest = kind_ == Kind::kEd25519 ? nullptr : EVP_sha256();
  EVP_DigestSignInit(context.get(), &options, digest, nullptr, key_.get());
  if (kind_ == Kind::kRsa) {
    EVP_PKEY_CTX_set_rsa_padding(options, RSA_PKCS1_PSS_PADDING);
    EVP_PKEY_CTX_set_rsa_pss_saltlen(options, RSA_PSS_SALTLEN_DIGEST);
  }
  unsigned char signature[kMaxSignatureBytes];
  std::size_t size = sizeof signature;
  const auto* const message = reinterpret_cast<const unsigned char*>(bytes.data());
  if (EVP_DigestSign(context.get(), signature, &size, message, bytes.size()) != 1)
    throw std::runtime_error("OpenSSL can't sign " + std::to_string(bytes.size()) + " bytes with key " + id_);
  return to_hex({reinterpret_cast<char*>(signature), size});
}

}  // namespace ashbeam::metadata
