// Sets of signature keys as JWKS (RFC 7517), with what ashbeam's own sets say of each key's life besides.
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
  double active_from_unix_s = 0;  // x_from; 0: not given
  double retired_at_unix_s = 0;   // x_retired; 0: not given
  bool revoked = false;           // x_revoked
};

struct KeySet {
  std::vector<KeyEntry> keys;
  unsigned ignored_keys = 0;  // keys of other kinds: RFC 7517, section 5
  bool has_private_keys = false;
  std::string error;  // why the text is no key set; then `keys` is empty
};

KeySet parse_key_set(std::string_view text);
// The public parts alone.
std::string serialize_key_set(const std::vector<KeyEntry>& keys);

}  // namespace ashbeam::tokens
