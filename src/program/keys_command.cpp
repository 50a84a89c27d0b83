// `ashbeam keys`: a folder with one key set (ring.json, public) and the private parts in private/, a file
// each.
#include <fcntl.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <stdexcept>

#include "calling/key_ring.hpp"
#include "program/commands.hpp"
#include "protocol/json.hpp"
#include "records/value.hpp"
#include "store/files.hpp"
#include "tokens/base64url.hpp"
#include "tokens/jws.hpp"

namespace ashbeam {

namespace {

double now_s() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

class Folder {
 public:
  // Guards against two of these commands at once, of which one would undo the other.
  explicit Folder(const std::string& path) : path_(path) {
    ::mkdir(path_.c_str(), 0755);
    ::mkdir((path_ + "/private").c_str(), 0700);
    lock_ = ::open((path_ + "/.lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (lock_ < 0 || ::flock(lock_, LOCK_EX) != 0) throw FileError(path_, "can't be written");
    if (!std::filesystem::exists(ring())) return;
    tokens::KeySet set = tokens::read_key_set(read_file(ring(), tokens::kLongestSet));
    if (!set.problem.empty()) throw FileError(ring(), set.problem);
    keys_ = std::move(set.keys);
  }
  ~Folder() { ::close(lock_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  std::string ring() const { return path_ + "/ring.json"; }
  std::string secret(const std::string& kid) const { return path_ + "/private/" + kid + ".json"; }
  std::vector<tokens::Listed>& keys() { return keys_; }
  tokens::Listed& named(const std::string& kid) {
    for (auto& l : keys_) {
      if (l.kid == kid) return l;
    }
    throw std::runtime_error("no key is called " + kid);
  }
  void write() const { write_file(ring(), tokens::key_set_text(keys_), 0644); }

 private:
  std::string path_;
  int lock_ = -1;
  std::vector<tokens::Listed> keys_;
};

int guarded(void (*what)(const KeysOptions&), const KeysOptions& options) {
  try {
    what(options);
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "ashbeam keys: %s\n", e.what());
    return 1;
  }
}

Span span(const std::string& text) {
  const auto parsed = records::parse_span(text);
  if (!parsed) throw std::runtime_error("wanted a span like 10m, found " + records::quoted(text));
  return *parsed;
}

// As the router would see it, the file's own times alone.
std::string_view state_of(const tokens::Listed& l) {
  if (l.revoked) return "revoked";
  if (l.from > now_s()) return "coming";
  return l.retired > 0 && l.retired <= now_s() ? "retiring or retired" : "current";
}

void make(const KeysOptions& o) {
  Folder folder(o.folder);
  tokens::Listed l;
  l.key = tokens::Key::fresh(*tokens::algorithm_of(o.algorithm));
  l.kid = o.kid;
  if (l.kid.empty()) l.kid = "k" + std::to_string(static_cast<long long>(now_s() * 1000)) + "-" + o.algorithm;
  const bool plain = std::all_of(l.kid.begin(), l.kid.end(),
                                 [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; });
  if (!plain || l.kid.size() > tokens::kLongestKid)
    throw std::runtime_error("wanted a name of at most 64 letters, digits, - and _");
  for (const auto& other : folder.keys()) {
    if (other.kid == l.kid) throw std::runtime_error("a key is called " + l.kid + " already");
  }
  l.from = std::floor(now_s() + span(o.from).s());
  write_file(folder.secret(l.kid),
             "{\"keys\":[{\"kid\":" + json_text(l.kid) + "," + l.key.members(true) + "}]}\n", 0600);
  folder.keys().push_back(l);
  if (folder.keys().size() > tokens::kMostKeys)
    throw std::runtime_error("more than 64 keys: remove old ones");
  folder.write();
  std::printf("%s\n", l.kid.c_str());
}

void list(const KeysOptions& o) {
  Folder folder(o.folder);
  for (const auto& l : folder.keys()) {
    std::printf("%s %s %s %s\n", l.kid.c_str(), std::string(tokens::name_of(l.key.algorithm())).c_str(),
                std::string(state_of(l)).c_str(), l.key.thumbprint().c_str());
  }
}

void retire(const KeysOptions& o) {
  Folder folder(o.folder);
  tokens::Listed& l = folder.named(o.kid);
  if (l.retired == 0) l.retired = std::ceil(now_s());
  folder.write();
}

void revoke(const KeysOptions& o) {
  Folder folder(o.folder);
  folder.named(o.kid).revoked = true;
  folder.write();
}

std::string print_of(const std::string& certificate) {
  std::FILE* const file = std::fopen(certificate.c_str(), "r");
  if (!file) throw FileError(certificate, "can't be read");
  X509* const x = PEM_read_X509(file, nullptr, nullptr, nullptr);
  std::fclose(file);
  if (!x) throw FileError(certificate, "no PEM certificate");
  unsigned char print[32];
  unsigned size = sizeof print;
  X509_digest(x, EVP_sha256(), print, &size);
  X509_free(x);
  return tokens::to_base64url({reinterpret_cast<char*>(print), size});
}

void token(const KeysOptions& o) {
  Folder folder(o.folder);
  const tokens::Listed* with = nullptr;
  for (const auto& l : folder.keys()) {
    if (o.kid.empty() ? state_of(l) == "current" : l.kid == o.kid) with = &l;
  }
  if (!with) throw std::runtime_error(o.kid.empty() ? "no key signs now" : "no key is called " + o.kid);
  need_private(folder.secret(with->kid));
  const tokens::KeySet set = tokens::read_key_set(read_file(folder.secret(with->kid), tokens::kLongestSet));
  if (set.keys.size() != 1) throw FileError(folder.secret(with->kid), set.problem);
  const auto now = static_cast<long long>(now_s());
  std::string claims = "{\"sub\":" + json_text(o.subject) + ",\"tenant\":" + json_text(o.tenant) +
                       ",\"iat\":" + std::to_string(now) + ",\"exp\":" +
                       std::to_string(now + static_cast<long long>(std::ceil(span(o.life).s())));
  if (!o.issuer.empty()) claims += ",\"iss\":" + json_text(o.issuer);
  if (!o.audience.empty()) claims += ",\"aud\":" + json_text(o.audience);
  if (!o.certificate.empty()) claims += ",\"cnf\":{\"x5t#S256\":\"" + print_of(o.certificate) + "\"}";
  std::printf("%s\n", tokens::issue(set.keys[0].key, with->kid, claims + "}").c_str());
}

}  // namespace

int keys_new(const KeysOptions& o) { return guarded(make, o); }
int keys_list(const KeysOptions& o) { return guarded(list, o); }
int keys_retire(const KeysOptions& o) { return guarded(retire, o); }
int keys_revoke(const KeysOptions& o) { return guarded(revoke, o); }
int keys_token(const KeysOptions& o) { return guarded(token, o); }

}  // namespace ashbeam
