// Limits of the parser of typed records. They bound the time and memory that a hostile file can cost: a file
// that exceeds one is rejected with a Problem.
#pragma once
#include <cstddef>

namespace ashbeam::records {

constexpr std::size_t kMaxFileBytes = std::size_t{1024} * 1024;
constexpr std::size_t kMaxStringBytes = 4096;
constexpr unsigned kMaxDepth = 32;  // levels of nested values, and of nested references
// Limits the nodes of the parsed file, and separately the values made by resolving its references.
constexpr std::size_t kMaxNodes = 100'000;
constexpr std::size_t kMaxProblems = 50;  // reported for a file; further ones are dropped
constexpr double kMaxNumber = 9e15;       // a double represents each integer up to it exactly

}  // namespace ashbeam::records
