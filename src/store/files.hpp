// Files read and written whole. Throws FileError, whose text begins with the path.
#pragma once
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "tokens/key_set.hpp"

namespace ashbeam {

struct FileError : std::runtime_error {
  FileError(const std::string& path, const std::string& why) : std::runtime_error(path + ": " + why) {}
};

std::string read_file(const std::string& path, std::size_t most);  // a plain file of at most so many bytes
// The file is there whole or as it was: written beside it, synced, renamed, the folder synced.
void write_file(const std::string& path, std::string_view bytes, unsigned mode);
// Guards against private keys that others on the machine may read.
void need_private(const std::string& path);

// All key sets (*.json) of a folder, in the names' order, at most 64 files; one that can't be used spoils
// all, so that a file half written never takes keys away. `stamp` tells whether the folder has changed since.
struct KeyFolder {
  std::vector<tokens::KeyEntry> keys;
  unsigned passed_over = 0;
  std::string stamp;
};
std::string key_folder_stamp(const std::string& path);
KeyFolder read_key_folder(const std::string& path);

}  // namespace ashbeam
