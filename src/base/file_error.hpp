// A file that can't be read, written or used. The text begins with its path.
#pragma once
#include <stdexcept>
#include <string>

namespace ashbeam {

struct FileError : std::runtime_error {
  FileError(const std::string& path, const std::string& why) : std::runtime_error(path + ": " + why) {}
};

}  // namespace ashbeam
