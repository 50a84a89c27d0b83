// Implements `ashbeam keys`. Its folder holds one key set in ring.json, with the public keys that routers
// read, and in private/ one file for each private key.
#include <fcntl.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <utility>

#include "program/commands.hpp"
#include "protocol/json.hpp"
#include "records/value.hpp"
#include "store/files.hpp"
#include "tokens/base64url.hpp"
#include "tokens/jws.hpp"
#include "tokens/openssl_ptr.hpp"

namespace ashbeam {

namespace {

constexpr mode_t kPublicFolderMode = 0755;
constexpr mode_t kPrivateFolderMode = 0700;
constexpr unsigned kPublicFileMode = 0644;
constexpr unsigned kPrivateFileMode = 0600;

double unix_now_s() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Holds an exclusive lock on the folder's lock file during its lifetime, so that two commands that run at the
// same time do not overwrite each other's changes.
class FolderLock {
 public:
  explicit FolderLock(const std::string& folder)
      : descriptor_(::open((folder + "/.lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kPrivateFileMode)) {
    if (descriptor_ >= 0 && ::flock(descriptor_, LOCK_EX) == 0) return;
    if (descriptor_ >= 0) ::close(descriptor_);
    throw FileError(folder, "lock file .lock cannot be created or locked");
  }
  ~FolderLock() { ::close(descriptor_); }
  FolderLock(const FolderLock&) = delete;
  FolderLock& operator=(const FolderLock&) = delete;

 private:
  int descriptor_;
};

// Creates the folder and its private folder unless they exist. Returns `path`.
std::string create_folders(const std::string& path) {
  ::mkdir(path.c_str(), kPublicFolderMode);
  ::mkdir((path + "/private").c_str(), kPrivateFolderMode);
  return path;
}

// The keys of a folder. The constructor locks the folder and reads the key set; save() writes it. Throws
// FileError.
class SigningKeyFolder {
 public:
  explicit SigningKeyFolder(const std::string& folder) : folder_(create_folders(folder)), lock_(folder_) {
    if (!std::filesystem::exists(set_path())) return;
    tokens::KeySet set = tokens::parse_key_set(read_file(set_path(), tokens::kMaxKeySetBytes));
    if (!set.error.empty()) throw FileError(set_path(), set.error);
    entries_ = std::move(set.keys);
  }

  std::vector<tokens::KeyEntry>& entries() { return entries_; }
  // Returns null if there is no key of this name.
  tokens::KeyEntry* find(const std::string& kid) {
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const tokens::KeyEntry& entry) { return entry.kid == kid; });
    return found == entries_.end() ? nullptr : &*found;
  }
  // Throws std::runtime_error if there is no key of this name.
  tokens::KeyEntry& get(const std::string& kid) {
    tokens::KeyEntry* const entry = find(kid);
    if (!entry) throw std::runtime_error("key '" + kid + "' is not in the key set");
    return *entry;
  }
  // Writes the public keys to the key set.
  void save() const { write_file(set_path(), tokens::serialize_key_set(entries_), kPublicFileMode); }

  // Writes the private key of `entry` to its file in private/.
  void save_private_key(const tokens::KeyEntry& entry) const {
    const std::string jwk =
        "{\"kid\":" + json_quoted(entry.kid) + "," + entry.key.jwk_members(/*with_private=*/true) + "}";
    write_file(private_path(entry.kid), "{\"keys\":[" + jwk + "]}\n", kPrivateFileMode);
  }
  // Reads the private key of the name `kid`. Throws FileError also if others than the owner may read the
  // file.
  tokens::Key load_private_key(const std::string& kid) const {
    const std::string path = private_path(kid);
    require_private_permissions(path);
    const tokens::KeySet set = tokens::parse_key_set(read_file(path, tokens::kMaxKeySetBytes));
    if (set.keys.size() != 1) throw FileError(path, set.error);
    return set.keys.front().key;
  }

 private:
  std::string set_path() const { return folder_ + "/ring.json"; }
  std::string private_path(const std::string& kid) const { return folder_ + "/private/" + kid + ".json"; }

  std::string folder_;
  FolderLock lock_;
  std::vector<tokens::KeyEntry> entries_;
};

// Parses a duration with a unit, like "10m". Throws std::runtime_error.
Duration parse_duration(const std::string& text) {
  const auto duration = records::parse_duration(text);
  if (!duration) throw std::runtime_error("expected a duration like 10m, got " + records::quoted(text));
  return *duration;
}

enum class ListedState { kComing, kCurrent, kRetiringOrRetired, kRevoked };

// Returns the state of a key by the times of the key set. Whether a retiring key still verifies tokens
// depends on the overlap in the operator file, which this command does not read.
ListedState state_of(const tokens::KeyEntry& entry) {
  if (entry.revoked) return ListedState::kRevoked;
  if (entry.active_from_unix_s > unix_now_s()) return ListedState::kComing;
  const bool retired = entry.retired_at_unix_s > 0 && entry.retired_at_unix_s <= unix_now_s();
  return retired ? ListedState::kRetiringOrRetired : ListedState::kCurrent;
}

const char* name_of(ListedState state) {
  switch (state) {
    case ListedState::kComing:
      return "coming";
    case ListedState::kCurrent:
      return "current";
    case ListedState::kRetiringOrRetired:
      return "retiring or retired";
    case ListedState::kRevoked:
      return "revoked";
  }
  return "?";
}

// Returns a name made of the Unix time in milliseconds and the algorithm, like "k1700000000000-EdDSA".
std::string default_kid(const std::string& algorithm) {
  return "k" + std::to_string(static_cast<long long>(unix_now_s() * 1000)) + "-" + algorithm;
}

// A kid is also part of a file name, which restricts its characters.
bool is_valid_kid(const std::string& kid) {
  return kid.size() <= tokens::kMaxKidBytes && std::all_of(kid.begin(), kid.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_';
         });
}

void create_key(const KeysOptions& options) {
  SigningKeyFolder keys(options.folder);
  tokens::KeyEntry entry;
  entry.key = tokens::Key::generate(*tokens::parse_algorithm(options.algorithm));
  entry.kid = options.kid.empty() ? default_kid(options.algorithm) : options.kid;
  if (!is_valid_kid(entry.kid))
    throw std::runtime_error("key name " + records::quoted(entry.kid) +
                             " is invalid: expected at most 64 letters, digits, '-' and '_'");
  if (keys.find(entry.kid)) throw std::runtime_error("key '" + entry.kid + "' already exists");
  entry.active_from_unix_s = std::floor(unix_now_s() + parse_duration(options.activation_delay).s());
  keys.save_private_key(entry);
  keys.entries().push_back(entry);
  if (keys.entries().size() > tokens::kMaxKeysPerSet)
    throw std::runtime_error("key set is full: at most 64 keys; remove old ones from ring.json");
  keys.save();
  std::printf("%s\n", entry.kid.c_str());
}

void list_keys(const KeysOptions& options) {
  SigningKeyFolder keys(options.folder);
  for (const tokens::KeyEntry& entry : keys.entries()) {
    const std::string algorithm(tokens::name_of(entry.key.algorithm()));
    std::printf("%s %s %s %s\n", entry.kid.c_str(), algorithm.c_str(), name_of(state_of(entry)),
                entry.key.thumbprint().c_str());
  }
}

void retire_key(const KeysOptions& options) {
  SigningKeyFolder keys(options.folder);
  tokens::KeyEntry& entry = keys.get(options.kid);
  if (entry.retired_at_unix_s == 0) entry.retired_at_unix_s = std::ceil(unix_now_s());
  keys.save();
}

void revoke_key(const KeysOptions& options) {
  SigningKeyFolder keys(options.folder);
  keys.get(options.kid).revoked = true;
  keys.save();
}

// Returns the SHA-256 thumbprint of the certificate in a PEM file, as the claim "x5t#S256" has it (RFC 8705,
// section 3.1).
std::string certificate_thumbprint(const std::string& path) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "r"), std::fclose);
  if (!file) throw FileError(path, "cannot be opened");
  const tokens::OpensslPtr<X509> certificate(PEM_read_X509(file.get(), nullptr, nullptr, nullptr));
  if (!certificate) throw FileError(path, "contains no PEM certificate");
  tokens::Digest digest{};
  auto size = static_cast<unsigned>(digest.size());
  X509_digest(certificate.get(), EVP_sha256(), digest.data(), &size);
  return tokens::encode_base64url({reinterpret_cast<const char*>(digest.data()), size});
}

// Returns the last key of the name `kid` in the key set, or the last current key if `kid` is empty. Throws
// std::runtime_error if there is none.
const tokens::KeyEntry& signing_key(SigningKeyFolder& keys, const std::string& kid) {
  const tokens::KeyEntry* chosen = nullptr;
  for (const tokens::KeyEntry& entry : keys.entries()) {
    const bool matches = kid.empty() ? state_of(entry) == ListedState::kCurrent : entry.kid == kid;
    if (matches) chosen = &entry;
  }
  if (!chosen)
    throw std::runtime_error(kid.empty() ? "key set has no current key"
                                         : "key '" + kid + "' is not in the key set");
  return *chosen;
}

std::string make_claims(const KeysOptions& options) {
  const auto issued_unix_s = static_cast<long long>(unix_now_s());
  const auto lifetime_s = static_cast<long long>(std::ceil(parse_duration(options.lifetime).s()));
  std::string claims =
      "{\"sub\":" + json_quoted(options.subject) + ",\"tenant\":" + json_quoted(options.tenant) +
      ",\"iat\":" + std::to_string(issued_unix_s) + ",\"exp\":" + std::to_string(issued_unix_s + lifetime_s);
  if (!options.issuer.empty()) claims += ",\"iss\":" + json_quoted(options.issuer);
  if (!options.audience.empty()) claims += ",\"aud\":" + json_quoted(options.audience);
  if (!options.certificate.empty())
    claims += ",\"cnf\":{\"x5t#S256\":\"" + certificate_thumbprint(options.certificate) + "\"}";
  return claims + "}";
}

void print_token(const KeysOptions& options) {
  SigningKeyFolder keys(options.folder);
  const tokens::KeyEntry& entry = signing_key(keys, options.kid);
  const tokens::Key private_key = keys.load_private_key(entry.kid);
  std::printf("%s\n", tokens::sign_token(private_key, entry.kid, make_claims(options)).c_str());
}

// Returns the exit code of `command`: 1, with a line on standard error, if it throws.
int run_command(void (*command)(const KeysOptions&), const KeysOptions& options) {
  try {
    command(options);
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ashbeam keys: %s\n", error.what());
    return 1;
  }
}

}  // namespace

int keys_new(const KeysOptions& options) { return run_command(create_key, options); }
int keys_list(const KeysOptions& options) { return run_command(list_keys, options); }
int keys_retire(const KeysOptions& options) { return run_command(retire_key, options); }
int keys_revoke(const KeysOptions& options) { return run_command(revoke_key, options); }
int keys_token(const KeysOptions& options) { return run_command(print_token, options); }

}  // namespace ashbeam
