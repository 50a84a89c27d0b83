// Turns parsed text into concrete values: references are replaced by what they name, and the operands of
// conjunctions are merged.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "records/parser.hpp"
#include "records/problem.hpp"
#include "records/value.hpp"

namespace ashbeam::records {

class Resolver {
 public:
  // References are looked up in `root`; problems are appended to `problems`. Both have to outlive the
  // resolver.
  Resolver(const Node& root, std::vector<Problem>& problems) : root_(root), problems_(problems) {}

  // `path` names the node in problems. What can't be made a value is kNone, with a problem.
  Value resolve(const Node& node, const std::string& path);

 private:
  Value resolve_record(const Node& node, const std::string& path);
  Value resolve_list(const Node& node, const std::string& path);
  Value resolve_reference(const Node& node, const std::string& path);
  Value resolve_conjunction(const Node& node, const std::string& path);
  Value resolve_disjunction(const Node& node, const std::string& path);
  void merge(Value& into, Value from, const std::string& path);
  void add_problem(Position position, const std::string& path, const std::string& wanted,
                   const std::string& found);

  const Node& root_;
  std::vector<Problem>& problems_;
  std::vector<const Field*> active_references_;  // being resolved
  std::size_t value_count_ = 0;
  bool is_limit_exceeded_ = false;
};

}  // namespace ashbeam::records
