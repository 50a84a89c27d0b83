// Bounds on what is read, so that a hostile file ends in a Problem soon.
#pragma once
#include <cstddef>

namespace ashbeam::records {

constexpr std::size_t kMaxFileBytes = std::size_t{1024} * 1024;
constexpr std::size_t kMaxStringBytes = 4096;
constexpr unsigned kMaxDepth = 32;          // of nested values, and of references
constexpr std::size_t kMaxNodes = 100'000;  // parsed, and again made by resolving references
constexpr std::size_t kMaxProblems = 50;    // that are reported
constexpr double kMaxNumber = 9e15;         // integers up to it are exact

}  // namespace ashbeam::records
