#include "tokens/keys.hpp"

#include <openssl/core_names.h>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/param_build.h>

#include <algorithm>
#include <set>
#include <stdexcept>

#include "protocol/json.hpp"
#include "tokens/base64url.hpp"

namespace ashbeam::tokens {

namespace {

struct Free {
  void operator()(EVP_PKEY_CTX* p) const { EVP_PKEY_CTX_free(p); }
  void operator()(EVP_MD_CTX* p) const { EVP_MD_CTX_free(p); }
  void operator()(OSSL_PARAM_BLD* p) const { OSSL_PARAM_BLD_free(p); }
  void operator()(OSSL_PARAM* p) const { OSSL_PARAM_free(p); }
  void operator()(ECDSA_SIG* p) const { ECDSA_SIG_free(p); }
  void operator()(BIGNUM* p) const { BN_clear_free(p); }
};
template <class T>
using Owned = std::unique_ptr<T, Free>;

const unsigned char* bytes_of(std::string_view s) { return reinterpret_cast<const unsigned char*>(s.data()); }

std::string padded(const BIGNUM* n) {
  std::string all(32, '\0');
  if (BN_bn2binpad(n, reinterpret_cast<unsigned char*>(all.data()), 32) != 32)
    throw std::runtime_error("a key's figure is too large");
  return all;
}

std::shared_ptr<EVP_PKEY> owned(EVP_PKEY* key) {
  if (!key) throw std::runtime_error("no key of that kind");
  return {key, EVP_PKEY_free};
}

std::shared_ptr<EVP_PKEY> ec_key(std::string_view x, std::string_view y, std::string_view d) {
  const std::string point = "\x04" + std::string(x) + std::string(y);
  const Owned<OSSL_PARAM_BLD> build(OSSL_PARAM_BLD_new());
  const Owned<BIGNUM> secret(d.empty() ? nullptr
                                       : BN_bin2bn(bytes_of(d), static_cast<int>(d.size()), nullptr));
  OSSL_PARAM_BLD_push_utf8_string(build.get(), OSSL_PKEY_PARAM_GROUP_NAME, "P-256", 0);
  OSSL_PARAM_BLD_push_octet_string(build.get(), OSSL_PKEY_PARAM_PUB_KEY, point.data(), point.size());
  if (secret) OSSL_PARAM_BLD_push_BN(build.get(), OSSL_PKEY_PARAM_PRIV_KEY, secret.get());
  const Owned<OSSL_PARAM> params(OSSL_PARAM_BLD_to_param(build.get()));
  const Owned<EVP_PKEY_CTX> ctx(EVP_PKEY_CTX_new_from_name(nullptr, "EC", nullptr));
  EVP_PKEY* key = nullptr;
  if (!params || !ctx || EVP_PKEY_fromdata_init(ctx.get()) != 1 ||
      EVP_PKEY_fromdata(ctx.get(), &key, secret ? EVP_PKEY_KEYPAIR : EVP_PKEY_PUBLIC_KEY, params.get()) != 1)
    throw std::runtime_error("no point of P-256");
  auto kept = owned(key);
  const Owned<EVP_PKEY_CTX> check(EVP_PKEY_CTX_new_from_pkey(nullptr, key, nullptr));
  if (!check || EVP_PKEY_public_check(check.get()) != 1) throw std::runtime_error("no point of P-256");
  if (secret && EVP_PKEY_pairwise_check(check.get()) != 1)
    throw std::runtime_error("private and public part do not belong together");
  return kept;
}

}  // namespace

std::string_view name_of(Algorithm algorithm) { return algorithm == Algorithm::kEdDsa ? "EdDSA" : "ES256"; }

std::optional<Algorithm> algorithm_of(std::string_view name) {
  if (name == "EdDSA") return Algorithm::kEdDsa;
  if (name == "ES256") return Algorithm::kEs256;
  return std::nullopt;
}

Digest digest_of(std::string_view bytes) {
  static EVP_MD* const sha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  thread_local const Owned<EVP_MD_CTX> ctx(EVP_MD_CTX_new());
  Digest d{};
  unsigned size = 0;
  if (EVP_DigestInit_ex2(ctx.get(), sha256, nullptr) != 1 ||
      EVP_DigestUpdate(ctx.get(), bytes.data(), bytes.size()) != 1 ||
      EVP_DigestFinal_ex(ctx.get(), d.data(), &size) != 1)
    throw std::runtime_error("SHA-256 can't be had");
  return d;
}

Key Key::public_key(Algorithm algorithm, std::string_view x, std::string_view y) {
  return private_key(algorithm, x, y, {});
}

Key Key::private_key(Algorithm algorithm, std::string_view x, std::string_view y, std::string_view d) {
  Key k;
  k.algorithm_ = algorithm;
  k.x_ = x, k.y_ = y, k.d_ = d;
  const bool curve = algorithm == Algorithm::kEs256;
  if (x.size() != 32 || y.size() != (curve ? 32 : 0) || (!d.empty() && d.size() != 32))
    throw std::runtime_error("a figure of a key has the wrong length");
  if (curve) {
    k.key_ = ec_key(x, y, d);
  } else if (d.empty()) {
    k.key_ = owned(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes_of(x), x.size()));
  } else {
    k.key_ = owned(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytes_of(d), d.size()));
    unsigned char own[32];
    std::size_t size = sizeof own;
    if (EVP_PKEY_get_raw_public_key(k.key_.get(), own, &size) != 1 || !std::equal(own, own + 32, bytes_of(x)))
      throw std::runtime_error("private and public part do not belong together");
  }
  const std::string named =
      curve ? R"({"crv":"P-256","kty":"EC","x":")" + to_base64url(x) + R"(","y":")" + to_base64url(y) + "\"}"
            : R"({"crv":"Ed25519","kty":"OKP","x":")" + to_base64url(x) + "\"}";
  const Digest d256 = digest_of(named);
  k.thumbprint_ = to_base64url({reinterpret_cast<const char*>(d256.data()), d256.size()});
  return k;
}

Key Key::fresh(Algorithm algorithm) {
  const bool curve = algorithm == Algorithm::kEs256;
  const auto key = owned(curve ? EVP_EC_gen("P-256") : EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
  if (!curve) {
    unsigned char x[32], d[32];
    std::size_t size = 32;
    EVP_PKEY_get_raw_public_key(key.get(), x, &size);
    EVP_PKEY_get_raw_private_key(key.get(), d, &size);
    return private_key(algorithm, {reinterpret_cast<char*>(x), 32}, {}, {reinterpret_cast<char*>(d), 32});
  }
  BIGNUM *x = nullptr, *y = nullptr, *d = nullptr;
  const bool had = EVP_PKEY_get_bn_param(key.get(), OSSL_PKEY_PARAM_EC_PUB_X, &x) == 1 &&
                   EVP_PKEY_get_bn_param(key.get(), OSSL_PKEY_PARAM_EC_PUB_Y, &y) == 1 &&
                   EVP_PKEY_get_bn_param(key.get(), OSSL_PKEY_PARAM_PRIV_KEY, &d) == 1;
  const Owned<BIGNUM> keep_x(x), keep_y(y), keep_d(d);
  if (!had) throw std::runtime_error("no key can be made");
  return private_key(algorithm, padded(x), padded(y), padded(d));
}

// ES256 signatures are r and s side by side (RFC 7518, section 3.4); OpenSSL wants them in DER.
bool Key::verifies(std::string_view signed_bytes, std::string_view signature) const {
  if (!key_ || signature.size() != 64) return false;
  thread_local const Owned<EVP_MD_CTX> ctx(EVP_MD_CTX_new());
  EVP_MD_CTX_reset(ctx.get());
  const bool curve = algorithm_ == Algorithm::kEs256;
  if (EVP_DigestVerifyInit(ctx.get(), nullptr, curve ? EVP_sha256() : nullptr, nullptr, key_.get()) != 1)
    return false;
  if (!curve) {
    return EVP_DigestVerify(ctx.get(), bytes_of(signature), 64, bytes_of(signed_bytes),
                            signed_bytes.size()) == 1;
  }
  const Owned<ECDSA_SIG> parts(ECDSA_SIG_new());
  ECDSA_SIG_set0(parts.get(), BN_bin2bn(bytes_of(signature), 32, nullptr),
                 BN_bin2bn(bytes_of(signature) + 32, 32, nullptr));
  unsigned char der[80];
  unsigned char* at = der;
  if (i2d_ECDSA_SIG(parts.get(), nullptr) > static_cast<int>(sizeof der)) return false;
  const int size = i2d_ECDSA_SIG(parts.get(), &at);
  return size > 0 && EVP_DigestVerify(ctx.get(), der, static_cast<std::size_t>(size), bytes_of(signed_bytes),
                                      signed_bytes.size()) == 1;
}

std::string Key::sign(std::string_view bytes) const {
  if (!is_private()) throw std::runtime_error("the private part is not here");
  const Owned<EVP_MD_CTX> ctx(EVP_MD_CTX_new());
  const bool curve = algorithm_ == Algorithm::kEs256;
  unsigned char out[128];
  std::size_t size = sizeof out;
  if (EVP_DigestSignInit(ctx.get(), nullptr, curve ? EVP_sha256() : nullptr, nullptr, key_.get()) != 1 ||
      EVP_DigestSign(ctx.get(), out, &size, bytes_of(bytes), bytes.size()) != 1)
    throw std::runtime_error("signing failed");
  if (!curve) return {reinterpret_cast<char*>(out), size};
  const unsigned char* at = out;
  const Owned<ECDSA_SIG> parts(d2i_ECDSA_SIG(nullptr, &at, static_cast<long>(size)));
  return padded(ECDSA_SIG_get0_r(parts.get())) + padded(ECDSA_SIG_get0_s(parts.get()));
}

std::string Key::members(bool with_private) const {
  const bool curve = algorithm_ == Algorithm::kEs256;
  std::string all = curve ? R"("kty":"EC","crv":"P-256")" : R"("kty":"OKP","crv":"Ed25519")";
  all +=
      R"(,"alg":")" + std::string(name_of(algorithm_)) + R"(","use":"sig","x":")" + to_base64url(x_) + "\"";
  if (curve) all += R"(,"y":")" + to_base64url(y_) + "\"";
  if (with_private && is_private()) all += R"(,"d":")" + to_base64url(d_) + "\"";
  return all;
}

// ---- Sets ----

namespace {

std::string decoded(const Json& key, const char* member) {
  const auto bytes = from_base64url(key.text(member));
  if (!bytes) throw std::runtime_error(std::string("'") + member + "' is no base64url");
  return *bytes;
}

// Nothing for a key of another kind.
std::optional<Listed> read_key(const Json& key) {
  std::set<std::string> names;
  bool twice = false;
  key.for_each_member(
      [&](const std::string& name, const Json&) { twice = twice || !names.insert(name).second; });
  if (twice) throw std::runtime_error("a member stands twice");
  const std::string kind = key.text("kty"), curve = key.text("crv"), use = key.text("use"),
                    alg = key.text("alg");
  std::optional<Algorithm> algorithm;
  if (kind == "OKP" && curve == "Ed25519") algorithm = Algorithm::kEdDsa;
  if (kind == "EC" && curve == "P-256") algorithm = Algorithm::kEs256;
  if (kind.empty()) throw std::runtime_error("'kty' is missing");
  if (!algorithm || (!use.empty() && use != "sig")) return std::nullopt;
  if (!alg.empty() && alg != name_of(*algorithm)) return std::nullopt;  // a key for something else
  Listed l;
  l.kid = key.text("kid");
  if (l.kid.empty() || l.kid.size() > kLongestKid) throw std::runtime_error("'kid' is missing or too long");
  const std::string y = kind == "EC" ? decoded(key, "y") : "";
  l.key = Key::private_key(*algorithm, decoded(key, "x"), y, key.member("d") ? decoded(key, "d") : "");
  l.from = key.number("x_from", 0), l.retired = key.number("x_retired", 0);
  l.revoked = key.member("x_revoked").has_value();
  if (l.from < 0 || l.from > 1e11 || l.retired < 0 || l.retired > 1e11)
    throw std::runtime_error("a time is out of range");
  return l;
}

}  // namespace

KeySet read_key_set(std::string_view text) {
  KeySet set;
  const auto whole = text.size() <= kLongestSet ? Json::parse(text) : std::nullopt;
  const auto keys = whole && whole->is_object() ? whole->member("keys") : std::nullopt;
  if (!keys || !keys->is_array()) {
    set.problem = "wanted a JSON object with a list 'keys'";
    return set;
  }
  unsigned at = 0;
  keys->for_each_element([&](const Json& key) {
    ++at;
    if (!set.problem.empty()) return;
    try {
      if (!key.is_object()) throw std::runtime_error("no object");
      auto listed = read_key(key);
      if (!listed) return void(++set.passed_over);
      if (set.keys.size() >= kMostKeys) throw std::runtime_error("more than 64 keys");
      set.holds_private = set.holds_private || listed->key.is_private();
      set.keys.push_back(std::move(*listed));
    } catch (const std::runtime_error& e) {
      set.problem = "key " + std::to_string(at) + ": " + e.what();
    }
  });
  if (!set.problem.empty()) set.keys.clear();
  return set;
}

std::string key_set_text(const std::vector<Listed>& keys) {
  std::string all = "{\"keys\":[";
  for (const Listed& l : keys) {
    all += std::string(all.back() == '[' ? "\n" : ",\n") + "{\"kid\":" + json_quoted(l.kid) + "," +
           l.key.members(false);
    const auto time = [&](const char* name, double s) {
      if (s > 0) all += std::string(",\"") + name + "\":" + std::to_string(static_cast<long long>(s));
    };
    time("x_from", l.from);
    time("x_retired", l.retired);
    if (l.revoked) all += ",\"x_revoked\":true";
    all += "}";
  }
  return all + "\n]}\n";
}

}  // namespace ashbeam::tokens
