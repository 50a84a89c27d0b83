#include "tokens/key_set.hpp"

#include <optional>
#include <utility>

#include "protocol/json.hpp"
#include "tokens/base64url.hpp"
#include "tokens/json_members.hpp"

namespace ashbeam::tokens {

namespace {

constexpr double kMaxUnixS = 1e11;

std::string decoded_member(const Json& jwk, const char* name) {
  auto bytes = decode_base64url(jwk.text(name));
  if (!bytes) throw KeyError(std::string("'") + name + "' is no base64url");
  return *std::move(bytes);
}

// Nothing for a key of another kind, or for another use.
std::optional<Algorithm> algorithm_of(const Json& jwk) {
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

double unix_time_member(const Json& jwk, const char* name) {
  const double unix_s = jwk.number(name, 0);
  if (unix_s < 0 || unix_s > kMaxUnixS) throw KeyError("a time is out of range");
  return unix_s;
}

// Nothing for a key that is to be ignored; throws KeyError where it spoils its set.
std::optional<KeyEntry> parse_key(const Json& jwk) {
  if (!jwk.is_object()) throw KeyError("no object");
  if (has_repeated_member(jwk)) throw KeyError("a member stands twice");
  const auto algorithm = algorithm_of(jwk);
  if (!algorithm) return std::nullopt;
  KeyEntry entry;
  entry.kid = jwk.text("kid");
  if (entry.kid.empty() || entry.kid.size() > kMaxKidBytes) throw KeyError("'kid' is missing or too long");
  const std::string y = *algorithm == Algorithm::kEs256 ? decoded_member(jwk, "y") : "";
  const std::string d = jwk.member("d") ? decoded_member(jwk, "d") : "";
  const std::string x = decoded_member(jwk, "x");
  entry.key = Key::from_parts(*algorithm, x, y, d);
  entry.active_from_unix_s = unix_time_member(jwk, "x_from");
  entry.retired_at_unix_s = unix_time_member(jwk, "x_retired");
  entry.revoked = jwk.member("x_revoked").has_value();
  return entry;
}

std::string unix_time_text(const char* name, double unix_s) {
  if (unix_s <= 0) return {};
  return std::string(",\"") + name + "\":" + std::to_string(static_cast<long long>(unix_s));
}

std::string entry_text(const KeyEntry& entry) {
  std::string text = "{\"kid\":" + json_quoted(entry.kid) + "," + entry.key.jwk_members(false);
  text += unix_time_text("x_from", entry.active_from_unix_s);
  text += unix_time_text("x_retired", entry.retired_at_unix_s);
  if (entry.revoked) text += ",\"x_revoked\":true";
  return text + "}";
}

}  // namespace

KeySet parse_key_set(std::string_view text) {
  KeySet set;
  const auto whole = text.size() <= kMaxKeySetBytes ? Json::parse(text) : std::nullopt;
  const auto list = whole && whole->is_object() ? whole->member("keys") : std::nullopt;
  if (!list || !list->is_array()) {
    set.problem = "wanted a JSON object with a list 'keys'";
    return set;
  }
  unsigned position = 0;
  list->for_each_element([&](const Json& jwk) {
    ++position;
    if (!set.problem.empty()) return;
    try {
      auto entry = parse_key(jwk);
      if (!entry) {
        ++set.ignored;
        return;
      }
      if (set.keys.size() >= kMaxKeysOfSet) throw KeyError("more than 64 keys");
      set.has_private_keys = set.has_private_keys || entry->key.is_private();
      set.keys.push_back(*std::move(entry));
    } catch (const std::runtime_error& error) {
      set.problem = "key " + std::to_string(position) + ": " + error.what();
    }
  });
  if (!set.problem.empty()) set.keys.clear();
  return set;
}

std::string key_set_text(const std::vector<KeyEntry>& keys) {
  std::string text = "{\"keys\":[";
  for (std::size_t i = 0; i < keys.size(); ++i) text += (i == 0 ? "\n" : ",\n") + entry_text(keys[i]);
  return text + "\n]}\n";
}

}  // namespace ashbeam::tokens
