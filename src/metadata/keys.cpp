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

std::string hex_of(const unsigned char* bytes, std::size_t size) {
  constexpr char kHex[] = "0123456789abcdef";
  std::string all;
  all.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) all += kHex[bytes[i] >> 4U], all += kHex[bytes[i] & 15U];
  return all;
}

std::string digest_hex(std::string_view bytes, const EVP_MD* kind) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(bytes.data(), bytes.size(), out, &size, kind, nullptr);
  return hex_of(out, size);
}

const unsigned char* bytes_of(std::string_view s) { return reinterpret_cast<const unsigned char*>(s.data()); }

EVP_PKEY* from_pem(const std::string& pem) {
  BIO* const bio = BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size()));
  EVP_PKEY* const key = PEM_read_bio_PUBKEY(
      bio, nullptr, [](char*, int, int, void*) { return -1; }, nullptr);
  BIO_free(bio);
  ERR_clear_error();
  return key;
}

}  // namespace

std::string sha256_hex(std::string_view bytes) { return digest_hex(bytes, EVP_sha256()); }
std::string sha512_hex(std::string_view bytes) { return digest_hex(bytes, EVP_sha512()); }

std::optional<std::string> from_hex(std::string_view text) {
  if (text.size() % 2 != 0) return std::nullopt;
  std::string all;
  all.reserve(text.size() / 2);
  const auto digit = [](char c) {
    return c >= '0' && c <= '9'   ? c - '0'
           : c >= 'a' && c <= 'f' ? c - 'a' + 10
           : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                  : -1;
  };
  for (std::size_t i = 0; i < text.size(); i += 2) {
    const int high = digit(text[i]), low = digit(text[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    all += static_cast<char>(high * 16 + low);
  }
  return all;
}

std::shared_ptr<const PublicKey> PublicKey::of(const Node& object) {
  const Node* const type = object.find("keytype", Node::Kind::kString);
  const Node* const scheme = object.find("scheme", Node::Kind::kString);
  const Node* const value = object.find("keyval", Node::Kind::kObject);
  const Node* const text = value ? value->find("public", Node::Kind::kString) : nullptr;
  if (!type || !scheme || !text || text->text.size() > 8192) return nullptr;
  auto key = std::make_shared<PublicKey>();
  EVP_PKEY* made = nullptr;
  if (type->text == "ed25519" && scheme->text == "ed25519") {
    const auto bytes = from_hex(text->text);
    if (!bytes || bytes->size() != 32) return nullptr;
    key->scheme_ = Scheme::kEd25519;
    made = EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes_of(*bytes), bytes->size());
  } else if ((type->text == "ecdsa" || type->text == "ecdsa-sha2-nistp256") &&
             scheme->text == "ecdsa-sha2-nistp256") {
    key->scheme_ = Scheme::kEcdsa;
    made = from_pem(text->text);
    char curve[32] = "";
    std::size_t size = 0;
    const bool right = made && EVP_PKEY_get_base_id(made) == EVP_PKEY_EC &&
                       EVP_PKEY_get_group_name(made, curve, sizeof curve, &size) == 1 &&
                       std::string_view(curve) == "prime256v1";
    if (!right) return EVP_PKEY_free(made), nullptr;
  } else if (type->text == "rsa" && scheme->text == "rsassa-pss-sha256") {
    key->scheme_ = Scheme::kRsaPss;
    made = from_pem(text->text);
    const bool right = made && EVP_PKEY_get_base_id(made) == EVP_PKEY_RSA &&
                       EVP_PKEY_get_bits(made) >= 2048 && EVP_PKEY_get_bits(made) <= 8192;
    if (!right) return EVP_PKEY_free(made), nullptr;
  }
  if (!made) return nullptr;
  key->key_.reset(made, EVP_PKEY_free);
  unsigned char* der = nullptr;
  const int size = i2d_PUBKEY(made, &der);
  if (size <= 0) return nullptr;
  key->identity_ = digest_hex({reinterpret_cast<char*>(der), static_cast<std::size_t>(size)}, EVP_sha256());
  OPENSSL_free(der);
  return key;
}

bool PublicKey::verifies(std::string_view bytes, std::string_view signature) const {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> ctx(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_PKEY_CTX* how = nullptr;
  const EVP_MD* const digest = scheme_ == Scheme::kEd25519 ? nullptr : EVP_sha256();
  if (EVP_DigestVerifyInit(ctx.get(), &how, digest, nullptr, key_.get()) != 1) return false;
  if (scheme_ == Scheme::kRsaPss && (EVP_PKEY_CTX_set_rsa_padding(how, RSA_PKCS1_PSS_PADDING) != 1 ||
                                     EVP_PKEY_CTX_set_rsa_pss_saltlen(how, RSA_PSS_SALTLEN_AUTO) != 1))
    return false;
  const bool good =
      EVP_DigestVerify(ctx.get(), bytes_of(signature), signature.size(), bytes_of(bytes), bytes.size()) == 1;
  ERR_clear_error();
  return good;
}

Refusal read_keys(const Node& objects, Keys& into) {
  if (objects.kind != Node::Kind::kObject || objects.members.size() > kMostKeys)
    return {Why::kUnreadable, "keys: wanted an object of at most 128", "TUF 4.3"};
  for (const auto& [keyid, object] : objects.members) {
    if (object.kind != Node::Kind::kObject) return {Why::kUnreadable, "keys: no object", "TUF 4.3"};
    const std::string own = sha256_hex(object.canonical());
    if (own != keyid)
      return {Why::kKey, "key id " + keyid.substr(0, 12) + " is of " + own.substr(0, 12), "TUF 4.2"};
    auto key = PublicKey::of(object);
    // A key of a kind that we don't know counts for nothing, and spoils nothing.
    if (key) into.emplace(keyid, std::move(key));
  }
  return {};
}

Refusal read_signatures(const Node& list, std::vector<Signature>& into) {
  if (list.kind != Node::Kind::kList || list.items.size() > kMostSignatures)
    return {Why::kUnreadable, "signatures: wanted a list of at most 128", "TUF 4.2"};
  for (const Node& one : list.items) {
    const Node* const keyid = one.find("keyid", Node::Kind::kString);
    const Node* const sig = one.find("sig", Node::Kind::kString);
    const auto bytes = sig ? from_hex(sig->text) : std::nullopt;
    if (!keyid || !bytes) return {Why::kUnreadable, "signatures: wanted keyid and sig in hex", "TUF 4.2"};
    into.push_back({keyid->text, *bytes});
  }
  return {};
}

Refusal read_role(const Node& object, Role& into) {
  const Node* const keyids = object.find("keyids", Node::Kind::kList);
  const Node* const threshold = object.find("threshold", Node::Kind::kNumber);
  if (!keyids || !threshold || threshold->number < 1 || keyids->items.size() > kMostKeys)
    return {Why::kUnreadable, "role: wanted keyids and a threshold of 1 or more", "TUF 4.3"};
  into.threshold = threshold->number;
  for (const Node& id : keyids->items) {
    if (id.kind != Node::Kind::kString) return {Why::kUnreadable, "role: a key id is no text", "TUF 4.3"};
    into.keyids.push_back(id.text);
  }
  std::sort(into.keyids.begin(), into.keyids.end());
  if (std::adjacent_find(into.keyids.begin(), into.keyids.end()) != into.keyids.end())
    return {Why::kUnreadable, "role: a key id twice", "TUF 4.3"};
  return {};
}

unsigned signers(const Role& role, const Keys& keys, const std::vector<Signature>& signatures,
                 std::string_view bytes, std::uint64_t& verifications) {
  std::set<std::string> distinct;
  for (const Signature& s : signatures) {
    if (!std::binary_search(role.keyids.begin(), role.keyids.end(), s.keyid)) continue;
    const auto key = keys.find(s.keyid);
    if (key == keys.end() || distinct.contains(key->second->identity())) continue;
    ++verifications;
    if (key->second->verifies(bytes, s.bytes)) distinct.insert(key->second->identity());
  }
  return static_cast<unsigned>(distinct.size());
}

}  // namespace ashbeam::metadata
