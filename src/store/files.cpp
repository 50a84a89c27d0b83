#include "store/files.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>

namespace ashbeam {

namespace {

constexpr std::size_t kMostFiles = 64;

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

std::string last_error() { return std::strerror(errno); }

std::vector<std::string> sets_of(const std::string& folder) {
  std::error_code error;
  std::vector<std::string> all;
  for (auto at = std::filesystem::directory_iterator(folder, error);
       !error && at != std::filesystem::directory_iterator(); at.increment(error)) {
    const std::string name = at->path().filename().string();
    if (name.ends_with(".json") && name[0] != '.') all.push_back(at->path().string());
    if (all.size() > kMostFiles) throw FileError(folder, "more than 64 key sets");
  }
  if (error) throw FileError(folder, error.message());
  std::sort(all.begin(), all.end());
  return all;
}

}  // namespace

std::string read_file(const std::string& path, std::size_t most) {
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  struct stat about {};
  if (file.get() < 0 || ::fstat(file.get(), &about) != 0) throw FileError(path, last_error());
  if (!S_ISREG(about.st_mode)) throw FileError(path, "no plain file");
  std::string all;
  char some[16384];
  for (;;) {
    const auto n = ::read(file.get(), some, sizeof some);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) throw FileError(path, last_error());
    if (n == 0) return all;
    all.append(some, static_cast<std::size_t>(n));
    if (all.size() > most) throw FileError(path, "longer than " + std::to_string(most) + " bytes");
  }
}

void write_file(const std::string& path, std::string_view bytes, unsigned mode) {
  const std::string beside = path + ".new";
  const std::filesystem::path folder = std::filesystem::path(path).parent_path();
  {
    ::unlink(beside.c_str());
    const Descriptor file(::open(beside.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode));
    if (file.get() < 0) throw FileError(beside, last_error());
    while (!bytes.empty()) {
      const auto n = ::write(file.get(), bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) throw FileError(beside, last_error());
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    if (::fsync(file.get()) != 0) throw FileError(beside, last_error());
  }
  if (::rename(beside.c_str(), path.c_str()) != 0) throw FileError(path, last_error());
  const Descriptor within(::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (within.get() >= 0) ::fsync(within.get());
}

void need_private(const std::string& path) {
  struct stat about {};
  if (::stat(path.c_str(), &about) != 0) throw FileError(path, last_error());
  if ((about.st_mode & 077U) != 0)
    throw FileError(path, "a private key that others may read (wanted mode 0600)");
}

std::string key_folder_stamp(const std::string& path) {
  std::string stamp;
  for (const std::string& file : sets_of(path)) {
    struct stat about {};
    if (::stat(file.c_str(), &about) != 0) throw FileError(file, last_error());
    stamp += file + ":" + std::to_string(about.st_ino) + ":" + std::to_string(about.st_size) + ":" +
             std::to_string(about.st_mode) + ":" + std::to_string(about.st_mtim.tv_sec) + "." +
             std::to_string(about.st_mtim.tv_nsec) + "\n";
  }
  return stamp;
}

KeyFolder read_key_folder(const std::string& path) {
  KeyFolder all;
  all.stamp = key_folder_stamp(path);  // first: what changes while we read is read again
  for (const std::string& file : sets_of(path)) {
    tokens::KeySet set = tokens::parse_key_set(read_file(file, tokens::kMaxKeySetBytes));
    if (!set.problem.empty()) throw FileError(file, set.problem);
    if (set.has_private_keys) need_private(file);
    all.passed_over += set.ignored;
    for (auto& listed : set.keys) all.keys.push_back(std::move(listed));
  }
  return all;
}

}  // namespace ashbeam
