// Parses and serializes sets of signature keys as JWKS (RFC 7517). ashbeam's own sets have three additional
// members for each key: x_from, x_retired and x_revoked.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "tokens/keys.hpp"

namespace ashbeam::tokens {

constexpr std::size_t kMaxKeysPerSet = 64;
constexpr std::size_t kMaxKeySetBytes = 262'144;  // 256 KiB
constexpr std::size_t kMaxKidBytes = 64;

struct KeyEntry {
  Key key;
  std::string kid;
  double active_from_unix_s = 0;  // x_from; 0 if absent
  double retired_at_unix_s = 0;   // x_retired; 0 if absent
  bool revoked = false;           // x_revoked
};

struct KeySet {
  std::vector<KeyEntry> keys;
  unsigned ignored_keys = 0;  // keys of unsupported types or uses, which are skipped (RFC 7517, section 5)
  bool has_private_keys = false;
  std::string error;  // why the text is not a valid key set; `keys` is then empty
};

// Parses a key set. An invalid key makes the whole set invalid.
KeySet parse_key_set(std::string_view text);
// Returns the key set as JSON text, without the private parts.
std::string serialize_key_set(const std::vector<KeyEntry>& keys);

}  // namespace ashbeam::tokens
