// Reads and writes whole files, and reads folders of key sets. The functions block, and therefore may be
// called only on the worker's thread or before the event loop runs. Each throws FileError, whose message
// begins with the path.
//
// Writing a file is atomic: if the process is killed, the file has either its former or its new contents. A
// file `<path>.new` may then remain; the next write removes it.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/file_error.hpp"
#include "tokens/key_set.hpp"

namespace ashbeam {

// Returns the contents of a regular file of at most `max_bytes` bytes.
std::string read_file(const std::string& path, std::size_t max_bytes);
// Replaces the file `path`. Writes the bytes to `<path>.new`, syncs that file, renames it to `path`, and
// syncs the folder. `mode` is the mode of the new file for open(2), to which the umask applies.
void write_file(const std::string& path, std::string_view bytes, unsigned mode);
// Throws if the mode of the file grants any permission to its group or to others. Used for files with private
// keys.
void require_private_permissions(const std::string& path);

// The key sets of a folder.
struct KeyFolder {
  std::vector<tokens::KeyEntry> keys;
  unsigned ignored_keys = 0;  // number of keys of unsupported types
  std::string fingerprint;    // the result of key_folder_fingerprint() before the files were read
};
// Returns a text that changes whenever a key set file of the folder is added, removed, replaced or modified.
// It consists of the name, inode number, size, mode and modification time of each file.
std::string key_folder_fingerprint(const std::string& path);
// Reads the key sets (*.json) of a folder in the order of their names. Throws if one of them is invalid, so
// that an incompletely written file does not remove keys. Also throws if there are more than kMaxKeySets
// files.
KeyFolder read_key_folder(const std::string& path);
constexpr std::size_t kMaxKeySets = 64;

}  // namespace ashbeam
