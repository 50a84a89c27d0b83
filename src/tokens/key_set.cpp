#include "tokens/key_set.hpp"

#include <optional>
#include <utility>

#include "protocol/json.hpp"
#include "tokens/base64url.hpp"
#include "tokens/json_members.hpp"

namespace ashbeam::tokens {

namespace {

constexpr double kMaxUnixS = 1e11;  // the year 5138

std::string decode_member(const Json& jwk, const char* name) {
  auto bytes = decode_base64url(jwk.text(name));
  if (!bytes) throw KeyError(std::string("'") + name + "' is not valid base64url");
  return *std::move(bytes);
}

// Returns no value if the key has an unsupported type, curve or algorithm, or another use than signatures.
std::optional<Algorithm> read_algorithm(const Json& jwk) {
  const std::string type = jwk.text("kty");
  const std::string curve = jwk.text("crv");
  const std::string use = jwk.text("use");
  const std::string stated_algorithm = jwk.text("alg");
  if (type.empty()) throw KeyError("'kty' is missing");
  std::optional<Algorithm> algorithm;
  if (type == "OKP" && curve == "Ed25519") algorithm = Algorithm::kEdDsa;
  if (type == "EC" && curve == "P-256") algorithm = Algorithm::kEs256;
  if (!algorithm) return std::nullopt;
  if (!use.empty() && use != "sig") return std::nullopt;
  if (!stated_algorithm.empty() && stated_algorithm != name_of(*algorithm)) return std::nullopt;
  return algorithm;
}

double read_unix_time(const Json& jwk, const char* name) {
  const double unix_s = jwk.number(name, 0);
  if (unix_s < 0 || unix_s > kMaxUnixS)
    throw KeyError(std::string("'") + name + "' is " + std::to_string(unix_s) +
                   ", expected seconds of Unix time from 0 to " + std::to_string(kMaxUnixS));
  return unix_s;
}

// Returns no value if the key is to be ignored. Throws KeyError if it makes the whole set invalid.
std::optional<KeyEntry> parse_key(const Json& jwk) {
  if (!jwk.is_object()) throw KeyError("not a JSON object");
  if (has_duplicate_member(jwk)) throw KeyError("duplicate member name");
  const auto algorithm = read_algorithm(jwk);
  if (!algorithm) return std::nullopt;
  KeyEntry entry;
  entry.kid = jwk.text("kid");
  if (entry.kid.empty() || entry.kid.size() > kMaxKidBytes)
    throw KeyError("'kid' has " + std::to_string(entry.kid.size()) + " bytes, expected 1 to " +
                   std::to_string(kMaxKidBytes));
  const std::string y = *algorithm == Algorithm::kEs256 ? decode_member(jwk, "y") : "";
  const std::string d = jwk.member("d") ? decode_member(jwk, "d") : "";
  const std::string x = decode_member(jwk, "x");
  entry.key = Key::from_parts(*algorithm, x, y, d);
  entry.active_from_unix_s = read_unix_time(jwk, "x_from");
  entry.retired_at_unix_s = read_unix_time(jwk, "x_retired");
  entry.revoked = jwk.member("x_revoked").has_value();
  return entry;
}

std::string serialize_unix_time(const char* name, double unix_s) {
  if (unix_s <= 0) return {};
  return std::string(",\"") + name + "\":" + std::to_string(static_cast<long long>(unix_s));
}

std::string serialize_entry(const KeyEntry& entry) {
  std::string text = "{\"kid\":" + json_quoted(entry.kid) + "," + entry.key.jwk_members(false);
  text += serialize_unix_time("x_from", entry.active_from_unix_s);
  text += serialize_unix_time("x_retired", entry.retired_at_unix_s);
  if (entry.revoked) text += ",\"x_revoked\":true";
  return text + "}";
}

}  // namespace

KeySet parse_key_set(std::string_view text) {
  KeySet set;
  const auto document = text.size() <= kMaxKeySetBytes ? Json::parse(text) : std::nullopt;
  const auto list = document && document->is_object() ? document->member("keys") : std::nullopt;
  if (!list || !list->is_array()) {
    set.error = "expected a JSON object with an array 'keys', of at most " + std::to_string(kMaxKeySetBytes) +
                " bytes; received " + std::to_string(text.size()) + " bytes";
    return set;
  }
  unsigned position = 0;
  list->for_each_element([&](const Json& jwk) {
    ++position;
    if (!set.error.empty()) return;
    try {
      auto entry = parse_key(jwk);
      if (!entry) {
        ++set.ignored_keys;
        return;
      }
      if (set.keys.size() >= kMaxKeysPerSet)
        throw KeyError("more than " + std::to_string(kMaxKeysPerSet) + " keys in the set");
      set.has_private_keys = set.has_private_keys || entry->key.is_private();
      set.keys.push_back(*std::move(entry));
    } catch (const std::runtime_error& error) {
      set.error = "key " + std::to_string(position) + ": " + error.what();
    }
  });
  if (!set.error.empty()) set.keys.clear();
  return set;
}

std::string serialize_key_set(const std::vector<KeyEntry>& keys) {
  std::string text = "{\"keys\":[";
  for (std::size_t i = 0; i < keys.size(); ++i) text += (i == 0 ? "\n" : ",\n") + serialize_entry(keys[i]);
  return text + "\n]}\n";
}

}  // namespace ashbeam::tokens
