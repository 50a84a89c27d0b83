// Files read and written as a whole, and folders of key sets. These block: on the worker's thread, or before
// the event loop runs. Every function throws FileError, whose text begins with the path.
//
// What a process that is killed may lose: nothing of a file that `write_file` replaces, which stands as it
// was or as it is to be; a file named `<path>.new` may be left behind, and the next write removes it.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/file_error.hpp"
#include "tokens/key_set.hpp"

namespace ashbeam {

// Of a regular file of at most `max_bytes`.
std::string read_file(const std::string& path, std::size_t max_bytes);
// Written beside its place, synced, renamed, and the folder synced. `mode` as chmod(2).
void write_file(const std::string& path, std::string_view bytes, unsigned mode);
// Throws where others than the owner may read or write the file: for private keys.
void require_private_permissions(const std::string& path);

struct KeyFolder {
  std::vector<tokens::KeyEntry> keys;
  unsigned ignored_keys = 0;  // keys of other kinds than this program uses
  std::string fingerprint;    // as key_folder_fingerprint
};
// Changes whenever a key set of the folder does.
std::string key_folder_fingerprint(const std::string& path);
// All key sets (*.json) of a folder in the order of their names, at most kMaxKeySets. One that can't be used
// makes the whole folder unusable, so that a file that is half written takes no keys away.
KeyFolder read_key_folder(const std::string& path);
constexpr std::size_t kMaxKeySets = 64;

}  // namespace ashbeam
