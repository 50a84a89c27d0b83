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

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr unsigned kModeBitsOfOthers = 077;  // of the group and of everybody else

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (valid()) ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  bool valid() const { return fd_ >= 0; }
  int get() const { return fd_; }

 private:
  int fd_;
};

FileError system_error(const std::string& path) { return {path, std::strerror(errno)}; }

struct stat status_of(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) throw system_error(path);
  return status;
}

void write_all(const Descriptor& file, const std::string& path, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto count = ::write(file.get(), bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw system_error(path);
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
}

void write_new_file(const std::string& path, std::string_view bytes, unsigned mode) {
  ::unlink(path.c_str());
  const Descriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode));
  if (!file.valid()) throw system_error(path);
  write_all(file, path, bytes);
  if (::fsync(file.get()) != 0) throw system_error(path);
}

// So that the rename lasts. Some file systems can't sync a folder: the file is there all the same.
void sync_folder_of(const std::string& path) {
  const std::filesystem::path folder = std::filesystem::path(path).parent_path();
  const Descriptor descriptor(
      ::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (descriptor.valid()) ::fsync(descriptor.get());
}

std::vector<std::string> key_set_paths(const std::string& folder) {
  std::error_code error;
  std::vector<std::string> paths;
  for (auto entry = std::filesystem::directory_iterator(folder, error);
       !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
    const std::string name = entry->path().filename().string();
    if (name.ends_with(".json") && name[0] != '.') paths.push_back(entry->path().string());
    if (paths.size() > kMaxKeySets)
      throw FileError(folder, "more than " + std::to_string(kMaxKeySets) + " key sets");
  }
  if (error) throw FileError(folder, error.message());
  std::sort(paths.begin(), paths.end());
  return paths;
}

}  // namespace

// Opened without blocking: a pipe of that name would wait for its writer.
std::string read_file(const std::string& path, std::size_t max_bytes) {
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  struct stat status {};
  if (!file.valid() || ::fstat(file.get(), &status) != 0) throw system_error(path);
  if (!S_ISREG(status.st_mode)) throw FileError(path, "no plain file");
  std::string contents;
  char buffer[kReadBytes];
  for (;;) {
    const auto count = ::read(file.get(), buffer, sizeof buffer);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw system_error(path);
    if (count == 0) return contents;
    contents.append(buffer, static_cast<std::size_t>(count));
    if (contents.size() > max_bytes)
      throw FileError(path, "longer than " + std::to_string(max_bytes) + " bytes");
  }
}

void write_file(const std::string& path, std::string_view bytes, unsigned mode) {
  const std::string new_path = path + ".new";
  write_new_file(new_path, bytes, mode);
  if (::rename(new_path.c_str(), path.c_str()) != 0) throw system_error(path);
  sync_folder_of(path);
}

void need_private(const std::string& path) {
  if ((status_of(path).st_mode & kModeBitsOfOthers) != 0)
    throw FileError(path, "a private key that others may read (wanted mode 0600)");
}

std::string key_folder_stamp(const std::string& path) {
  std::string stamp;
  for (const std::string& file : key_set_paths(path)) {
    const struct stat status = status_of(file);
    stamp += file + ":" + std::to_string(status.st_ino) + ":" + std::to_string(status.st_size) + ":" +
             std::to_string(status.st_mode) + ":" + std::to_string(status.st_mtim.tv_sec) + "." +
             std::to_string(status.st_mtim.tv_nsec) + "\n";
  }
  return stamp;
}

KeyFolder read_key_folder(const std::string& path) {
  KeyFolder folder;
  // Taken first: a file that changes while the folder is read gives another stamp, and is read again.
  folder.stamp = key_folder_stamp(path);
  for (const std::string& file : key_set_paths(path)) {
    tokens::KeySet set = tokens::parse_key_set(read_file(file, tokens::kMaxKeySetBytes));
    if (!set.error.empty()) throw FileError(file, set.error);
    if (set.has_private_keys) need_private(file);
    folder.passed_over += set.ignored_keys;
    for (tokens::KeyEntry& listed : set.keys) folder.keys.push_back(std::move(listed));
  }
  return folder;
}

}  // namespace ashbeam
