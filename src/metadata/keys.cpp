#include "metadata/keys.hpp"

#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>

#include <algorithm>
#include <set>

namespace ashbeam::metadata {

namespace {

constexpr std::size_t kMaxKeyTextBytes = 8192;
constexpr std::size_t kEd25519KeyBytes = 32;
constexpr int kMinRsaBits = 2048;
constexpr int kMaxRsaBits = 8192;

struct KeyDeleter {
  void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
};
using OwnedKey = std::unique_ptr<EVP_PKEY, KeyDeleter>;

std::string_view as_text(const unsigned char* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

const unsigned char* as_bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::string digest_hex(std::string_view bytes, const EVP_MD* algorithm) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest, &size, algorithm, nullptr);
  return to_hex(as_text(digest, size));
}

OwnedKey parse_pem_public_key(const std::string& pem) {
  const std::unique_ptr<BIO, decltype(&BIO_free)> source(
      BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())), BIO_free);
  const auto no_password = [](char*, int, int, void*) { return -1; };
  OwnedKey key(PEM_read_bio_PUBKEY(source.get(), nullptr, no_password, nullptr));
  ERR_clear_error();
  return key;
}

OwnedKey parse_ed25519_key(const std::string& hex) {
  const auto bytes = from_hex(hex);
  if (!bytes || bytes->size() != kEd25519KeyBytes) return nullptr;
  return OwnedKey(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, as_bytes(*bytes), bytes->size()));
}

// Returns null if the key is not an ECDSA key on P-256.
OwnedKey parse_ecdsa_key(const std::string& pem) {
  OwnedKey key = parse_pem_public_key(pem);
  if (!key || EVP_PKEY_get_base_id(key.get()) != EVP_PKEY_EC) return nullptr;
  char curve[32] = "";
  std::size_t size = 0;
  if (EVP_PKEY_get_group_name(key.get(), curve, sizeof curve, &size) != 1) return nullptr;
  return std::string_view(curve) == "prime256v1" ? std::move(key) : nullptr;
}

OwnedKey parse_rsa_key(const std::string& pem) {
  OwnedKey key = parse_pem_public_key(pem);
  if (!key || EVP_PKEY_get_base_id(key.get()) != EVP_PKEY_RSA) return nullptr;
  const int bits = EVP_PKEY_get_bits(key.get());
  return bits >= kMinRsaBits && bits <= kMaxRsaBits ? std::move(key) : nullptr;
}

// Returns the SHA-256 of the key's DER form in hex, or an empty string if OpenSSL can't encode the key.
std::string compute_identity(EVP_PKEY* key) {
  unsigned char* der = nullptr;
  const int size = i2d_PUBKEY(key, &der);
  if (size <= 0) return "";
  std::string identity = sha256_hex(as_text(der, static_cast<std::size_t>(size)));
  OPENSSL_free(der);
  return identity;
}

int hex_digit_value(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Returns the number of distinct public keys of the role that have signed. A key that is already counted is
// not verified again.
std::size_t count_signing_keys(const Role& role, const KeysById& keys, const SignedEnvelope& envelope,
                               std::uint64_t& verifications) {
  std::set<std::string> identities;
  for (const Signature& signature : envelope.signatures) {
    if (!std::binary_search(role.keyids.begin(), role.keyids.end(), signature.keyid)) continue;
    const auto key = keys.find(signature.keyid);
    if (key == keys.end() || identities.contains(key->second->identity())) continue;
    ++verifications;
    if (key->second->verify(envelope.signed_bytes, signature.bytes))
      identities.insert(key->second->identity());
  }
  return identities.size();
}

}  // namespace

std::string sha256_hex(std::string_view bytes) { return digest_hex(bytes, EVP_sha256()); }
std::string sha512_hex(std::string_view bytes) { return digest_hex(bytes, EVP_sha512()); }

std::string to_hex(std::string_view bytes) {
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::string hex(bytes.size() * 2, '0');
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    hex[2 * i] = kHexDigits[byte >> 4U];
    hex[2 * i + 1] = kHexDigits[byte & 15U];
  }
  return hex;
}

std::optional<std::string> from_hex(std::string_view text) {
  if (text.size() % 2 != 0) return std::nullopt;
  std::string bytes;
  bytes.reserve(text.size() / 2);
  for (std::size_t i = 0; i < text.size(); i += 2) {
    const int high = hex_digit_value(text[i]);
    const int low = hex_digit_value(text[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    bytes += static_cast<char>(high * 16 + low);
  }
  return bytes;
}

std::shared_ptr<const PublicKey> PublicKey::from_json(const JsonNode& object) {
  using Kind = JsonNode::Kind;
  const JsonNode* const type = object.find("keytype", Kind::kString);
  const JsonNode* const scheme = object.find("scheme", Kind::kString);
  const JsonNode* const value = object.find("keyval", Kind::kObject);
  const JsonNode* const text = value ? value->find("public", Kind::kString) : nullptr;
  if (!type || !scheme || !text || text->text.size() > kMaxKeyTextBytes) return nullptr;

  auto key = std::make_shared<PublicKey>();
  OwnedKey owned;
  if (type->text == "ed25519" && scheme->text == "ed25519") {
    key->scheme_ = Scheme::kEd25519;
    owned = parse_ed25519_key(text->text);
  } else if ((type->text == "ecdsa" || type->text == "ecdsa-sha2-nistp256") &&
             scheme->text == "ecdsa-sha2-nistp256") {
    key->scheme_ = Scheme::kEcdsa;
    owned = parse_ecdsa_key(text->text);
  } else if (type->text == "rsa" && scheme->text == "rsassa-pss-sha256") {
    key->scheme_ = Scheme::kRsaPss;
    owned = parse_rsa_key(text->text);
  }
  if (!owned) return nullptr;
  key->identity_ = compute_identity(owned.get());
  if (key->identity_.empty()) return nullptr;
  key->key_ = std::move(owned);
  return key;
}

bool PublicKey::verify(std::string_view bytes, std::string_view signature) const {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_PKEY_CTX* options = nullptr;  // owned by `context`
  const EVP_MD* const digest = scheme_ == Scheme::kEd25519 ? nullptr : EVP_sha256();
  if (EVP_DigestVerifyInit(context.get(), &options, digest, nullptr, key_.get()) != 1) return false;
  if (scheme_ == Scheme::kRsaPss) {
    if (EVP_PKEY_CTX_set_rsa_padding(options, RSA_PKCS1_PSS_PADDING) != 1) return false;
    if (EVP_PKEY_CTX_set_rsa_pss_saltlen(options, RSA_PSS_SALTLEN_AUTO) != 1) return false;
  }
  const bool valid = EVP_DigestVerify(context.get(), as_bytes(signature), signature.size(), as_bytes(bytes),
                                      bytes.size()) == 1;
  ERR_clear_error();
  return valid;
}

Refusal read_keys(const JsonNode& objects, KeysById& keys) {
  if (objects.kind != JsonNode::Kind::kObject || objects.members.size() > kMaxKeys)
    return Refusal::unreadable("keys: wanted an object of at most 128", "TUF 4.3");
  for (const auto& [keyid, object] : objects.members) {
    if (object.kind != JsonNode::Kind::kObject) return Refusal::unreadable("keys: no object", "TUF 4.3");
    const std::string computed = sha256_hex(object.to_canonical_json());
    if (computed != keyid) {
      std::string detail = "key id ";
      detail.append(abbreviate_hash(keyid)).append(" is of ").append(abbreviate_hash(computed));
      return {RefusalReason::kKey, std::move(detail), "TUF 4.2"};
    }
    auto key = PublicKey::from_json(object);
    if (key) keys.emplace(keyid, std::move(key));
  }
  return {};
}

Refusal read_signatures(const JsonNode& list, std::vector<Signature>& signatures) {
  if (list.kind != JsonNode::Kind::kArray || list.items.size() > kMaxSignatures)
    return Refusal::unreadable("signatures: wanted a list of at most 128", "TUF 4.2");
  for (const JsonNode& item : list.items) {
    const JsonNode* const keyid = item.find("keyid", JsonNode::Kind::kString);
    const JsonNode* const sig = item.find("sig", JsonNode::Kind::kString);
    auto bytes = sig ? from_hex(sig->text) : std::nullopt;
    if (!keyid || !bytes) return Refusal::unreadable("signatures: wanted keyid and sig in hex", "TUF 4.2");
    signatures.push_back({keyid->text, std::move(*bytes)});
  }
  return {};
}

Refusal read_role(const JsonNode& object, Role& role) {
  const JsonNode* const keyids = object.find("keyids", JsonNode::Kind::kArray);
  const JsonNode* const threshold = object.find("threshold", JsonNode::Kind::kNumber);
  if (!keyids || !threshold || threshold->number < 1 || keyids->items.size() > kMaxKeys)
    return Refusal::unreadable("role: wanted keyids and a threshold of 1 or more", "TUF 4.3");
  role.threshold = threshold->number;
  for (const JsonNode& keyid : keyids->items) {
    if (keyid.kind != JsonNode::Kind::kString)
      return Refusal::unreadable("role: a key id is no text", "TUF 4.3");
    role.keyids.push_back(keyid.text);
  }
  std::sort(role.keyids.begin(), role.keyids.end());
  if (std::adjacent_find(role.keyids.begin(), role.keyids.end()) != role.keyids.end())
    return Refusal::unreadable("role: a key id twice", "TUF 4.3");
  return {};
}

Refusal check_threshold(std::string_view subject, const Role& role, const KeysById& keys,
                        const SignedEnvelope& envelope, const char* section, std::uint64_t& verifications) {
  const auto valid = static_cast<std::int64_t>(count_signing_keys(role, keys, envelope, verifications));
  if (valid >= role.threshold) return {};
  return Refusal::threshold(subject, valid, role.threshold, section);
}

}  // namespace ashbeam::metadata
