// `ashbeam keys`: a folder with one key set (ring.json, public, which routers read) and the private parts in
// private/, a file each.
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

// Holds the folder's lock file while it lives, so that of two commands at once neither undoes the other.
class FolderLock {
 public:
  explicit FolderLock(const std::string& folder)
      : descriptor_(::open((folder + "/.lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kPrivateFileMode)) {
    if (descriptor_ >= 0 && ::flock(descriptor_, LOCK_EX) == 0) return;
    if (descriptor_ >= 0) ::close(descriptor_);
    throw FileError(folder, "can't be written");
  }
  ~FolderLock() { ::close(descriptor_); }
  FolderLock(const FolderLock&) = delete;
  FolderLock& operator=(const FolderLock&) = delete;

 private:
  int descriptor_;
};

std::string made_folder(const std::string& path) {
  ::mkdir(path.c_str(), kPublicFolderMode);
  ::mkdir((path + "/private").c_str(), kPrivateFolderMode);
  return path;
}

// The folder's key set, read when it is opened and written by save(). Throws FileError.
class SigningKeys {
 public:
  explicit SigningKeys(const std::string& folder) : folder_(made_folder(folder)), lock_(folder_) {
    if (!std::filesystem::exists(set_path())) return;
    tokens::KeySet set = tokens::parse_key_set(read_file(set_path(), tokens::kMaxKeySetBytes));
    if (!set.problem.empty()) throw FileError(set_path(), set.problem);
    entries_ = std::move(set.keys);
  }

  std::vector<tokens::KeyEntry>& entries() { return entries_; }
  tokens::KeyEntry* find(const std::string& kid) {
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const tokens::KeyEntry& entry) { return entry.kid == kid; });
    return found == entries_.end() ? nullptr : &*found;
  }
  tokens::KeyEntry& get(const std::string& kid) {
    tokens::KeyEntry* const entry = find(kid);
    if (!entry) throw std::runtime_error("no key is called " + kid);
    return *entry;
  }
  void save() const { write_file(set_path(), tokens::key_set_text(entries_), kPublicFileMode); }

  void save_private(const tokens::KeyEntry& entry) const {
    const std::string jwk =
        "{\"kid\":" + json_quoted(entry.kid) + "," + entry.key.jwk_members(/*with_private=*/true) + "}";
    write_file(private_path(entry.kid), "{\"keys\":[" + jwk + "]}\n", kPrivateFileMode);
  }
  tokens::Key load_private(const std::string& kid) const {
    const std::string path = private_path(kid);
    need_private(path);
    const tokens::KeySet set = tokens::parse_key_set(read_file(path, tokens::kMaxKeySetBytes));
    if (set.keys.size() != 1) throw FileError(path, set.problem);
    return set.keys.front().key;
  }

 private:
  std::string set_path() const { return folder_ + "/ring.json"; }
  std::string private_path(const std::string& kid) const { return folder_ + "/private/" + kid + ".json"; }

  std::string folder_;
  FolderLock lock_;
  std::vector<tokens::KeyEntry> entries_;
};

Duration parse_span(const std::string& text) {
  const auto span = records::parse_duration(text);
  if (!span) throw std::runtime_error("wanted a span like 10m, found " + records::quoted(text));
  return *span;
}

enum class ListedState { kComing, kCurrent, kRetiringOrRetired, kRevoked };

// As far as the file's own times say; how long a retiring key still verifies is in the routers' settings.
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

std::string default_kid(const std::string& algorithm) {
  return "k" + std::to_string(static_cast<long long>(unix_now_s() * 1000)) + "-" + algorithm;
}

// A kid names a file, too.
bool is_good_kid(const std::string& kid) {
  return kid.size() <= tokens::kMaxKidBytes && std::all_of(kid.begin(), kid.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '-' || c == '_';
         });
}

void create_key(const KeysOptions& options) {
  SigningKeys keys(options.folder);
  tokens::KeyEntry entry;
  entry.key = tokens::Key::generate(*tokens::parse_algorithm(options.algorithm));
  entry.kid = options.kid.empty() ? default_kid(options.algorithm) : options.kid;
  if (!is_good_kid(entry.kid))
    throw std::runtime_error("wanted a name of at most 64 letters, digits, - and _");
  if (keys.find(entry.kid)) throw std::runtime_error("a key is called " + entry.kid + " already");
  entry.active_from_unix_s = std::floor(unix_now_s() + parse_span(options.from).s());
  keys.save_private(entry);
  keys.entries().push_back(entry);
  if (keys.entries().size() > tokens::kMaxKeysOfSet)
    throw std::runtime_error("more than 64 keys: remove old ones");
  keys.save();
  std::printf("%s\n", entry.kid.c_str());
}

void list_keys(const KeysOptions& options) {
  SigningKeys keys(options.folder);
  for (const tokens::KeyEntry& entry : keys.entries()) {
    const std::string algorithm(tokens::name_of(entry.key.algorithm()));
    std::printf("%s %s %s %s\n", entry.kid.c_str(), algorithm.c_str(), name_of(state_of(entry)),
                entry.key.thumbprint().c_str());
  }
}

void retire_key(const KeysOptions& options) {
  SigningKeys keys(options.folder);
  tokens::KeyEntry& entry = keys.get(options.kid);
  if (entry.retired_at_unix_s == 0) entry.retired_at_unix_s = std::ceil(unix_now_s());
  keys.save();
}

void revoke_key(const KeysOptions& options) {
  SigningKeys keys(options.folder);
  keys.get(options.kid).revoked = true;
  keys.save();
}

// x5t#S256 (RFC 8705, section 3.1) of a PEM file.
std::string certificate_thumbprint(const std::string& path) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "r"), std::fclose);
  if (!file) throw FileError(path, "can't be read");
  const tokens::OpensslPtr<X509> certificate(PEM_read_X509(file.get(), nullptr, nullptr, nullptr));
  if (!certificate) throw FileError(path, "no PEM certificate");
  tokens::Digest digest{};
  auto size = static_cast<unsigned>(digest.size());
  X509_digest(certificate.get(), EVP_sha256(), digest.data(), &size);
  return tokens::encode_base64url({reinterpret_cast<const char*>(digest.data()), size});
}

// The last key of that name; where no name is given, the last that signs now.
const tokens::KeyEntry& signing_key(SigningKeys& keys, const std::string& kid) {
  const tokens::KeyEntry* chosen = nullptr;
  for (const tokens::KeyEntry& entry : keys.entries()) {
    const bool fits = kid.empty() ? state_of(entry) == ListedState::kCurrent : entry.kid == kid;
    if (fits) chosen = &entry;
  }
  if (!chosen) throw std::runtime_error(kid.empty() ? "no key signs now" : "no key is called " + kid);
  return *chosen;
}

std::string claims_text(const KeysOptions& options) {
  const auto issued_unix_s = static_cast<long long>(unix_now_s());
  const auto lifetime_s = static_cast<long long>(std::ceil(parse_span(options.life).s()));
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
  SigningKeys keys(options.folder);
  const tokens::KeyEntry& entry = signing_key(keys, options.kid);
  const tokens::Key private_key = keys.load_private(entry.kid);
  std::printf("%s\n", tokens::sign_token(private_key, entry.kid, claims_text(options)).c_str());
}

int exit_code_of(void (*command)(const KeysOptions&), const KeysOptions& options) {
  try {
    command(options);
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ashbeam keys: %s\n", error.what());
    return 1;
  }
}

}  // namespace

int keys_new(const KeysOptions& options) { return exit_code_of(create_key, options); }
int keys_list(const KeysOptions& options) { return exit_code_of(list_keys, options); }
int keys_retire(const KeysOptions& options) { return exit_code_of(retire_key, options); }
int keys_revoke(const KeysOptions& options) { return exit_code_of(revoke_key, options); }
int keys_token(const KeysOptions& options) { return exit_code_of(print_token, options); }

}  // namespace ashbeam
