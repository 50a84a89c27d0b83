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

constexpr std::size_t kReadChunkBytes = std::size_t{16} * 1024;
constexpr unsigned kGroupAndOthersModeBits = 077;

// Owns a file descriptor and closes it.
class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (is_valid()) ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  bool is_valid() const { return fd_ >= 0; }
  int get() const { return fd_; }

 private:
  int fd_;
};

// Returns an error whose cause is the text of errno.
FileError system_error(const std::string& path) { return {path, std::strerror(errno)}; }

struct stat read_file_status(const std::string& path) {
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
  if (!file.is_valid()) throw system_error(path);
  write_all(file, path, bytes);
  if (::fsync(file.get()) != 0) throw system_error(path);
}

// Makes the rename durable. Errors are ignored, because some file systems cannot sync a folder, and the file
// has been written all the same.
void sync_folder_of(const std::string& path) {
  const std::filesystem::path folder = std::filesystem::path(path).parent_path();
  const Descriptor descriptor(
      ::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (descriptor.is_valid()) ::fsync(descriptor.get());
}

std::vector<std::string> list_key_set_paths(const std::string& folder) {
  std::error_code error;
  std::vector<std::string> paths;
  for (auto entry = std::filesystem::directory_iterator(folder, error);
       !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
    const std::string name = entry->path().filename().string();
    if (name.ends_with(".json") && name[0] != '.') paths.push_back(entry->path().string());
    if (paths.size() > kMaxKeySets)
      throw FileError(folder, "contains more than the maximum of " + std::to_string(kMaxKeySets) +
                                  " key set files (*.json)");
  }
  if (error) throw FileError(folder, error.message());
  std::sort(paths.begin(), paths.end());
  return paths;
}

}  // namespace

// The file is opened with O_NONBLOCK, because opening a named pipe would otherwise wait for its writer.
std::string read_file(const std::string& path, std::size_t max_bytes) {
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  struct stat status {};
  if (!file.is_valid() || ::fstat(file.get(), &status) != 0) throw system_error(path);
  if (!S_ISREG(status.st_mode)) throw FileError(path, "not a regular file");
  std::string contents;
  char buffer[kReadChunkBytes];
  for (;;) {
    const auto count = ::read(file.get(), buffer, sizeof buffer);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw system_error(path);
    if (count == 0) return contents;
    contents.append(buffer, static_cast<std::size_t>(count));
    if (contents.size() > max_bytes)
      throw FileError(path, "larger than the maximum of " + std::to_string(max_bytes) + " bytes");
  }
}

void write_file(const std::string& path, std::string_view bytes, unsigned mode) {
  const std::string new_path = path + ".new";
  write_new_file(new_path, bytes, mode);
  if (::rename(new_path.c_str(), path.c_str()) != 0) throw system_error(path);
  sync_folder_of(path);
}

void require_private_permissions(const std::string& path) {
  if ((read_file_status(path).st_mode & kGroupAndOthersModeBits) != 0)
    throw FileError(path, "private key file is accessible by its group or by others; expected mode 0600");
}

std::string key_folder_fingerprint(const std::string& path) {
  std::string stamp;
  for (const std::string& file : list_key_set_paths(path)) {
    const struct stat status = read_file_status(file);
    stamp += file + ":" + std::to_string(status.st_ino) + ":" + std::to_string(status.st_size) + ":" +
             std::to_string(status.st_mode) + ":" + std::to_string(status.st_mtim.tv_sec) + "." +
             std::to_string(status.st_mtim.tv_nsec) + "\n";
  }
  return stamp;
}

KeyFolder read_key_folder(const std::string& path) {
  KeyFolder folder;
  // Computed before the files are read: if a file changes meanwhile, the next fingerprint differs and the
  // folder is read again.
  folder.fingerprint = key_folder_fingerprint(path);
  for (const std::string& file : list_key_set_paths(path)) {
    tokens::KeySet set = tokens::parse_key_set(read_file(file, tokens::kMaxKeySetBytes));
    if (!set.error.empty()) throw FileError(file, set.error);
    if (set.has_private_keys) require_private_permissions(file);
    folder.ignored_keys += set.ignored_keys;
    for (tokens::KeyEntry& listed : set.keys) folder.keys.push_back(std::move(listed));
  }
  return folder;
}

}  // namespace ashbeam
