// Thrown when a file cannot be read or written, or when its content cannot be used. The message is the path
// of the file, a colon and the cause.
#pragma once
#include <stdexcept>
#include <string>

namespace ashbeam {

struct FileError : std::runtime_error {
  FileError(const std::string& path, const std::string& cause) : std::runtime_error(path + ": " + cause) {}
};

}  // namespace ashbeam
