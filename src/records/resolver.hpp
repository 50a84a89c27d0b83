// Turns parsed nodes into concrete values: replaces references by the definitions that they name, merges the
// operands of conjunctions, and takes the defaults of disjunctions.
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
  // References are looked up among the fields of `root`. Problems are appended to `problems`. Both must
  // outlive the resolver.
  Resolver(const Node& root, std::vector<Problem>& problems) : root_(root), problems_(problems) {}

  // Returns the node's value. A node that has no concrete value becomes kNone and is reported as a problem.
  // `path` is the path of the node that problems name.
  Value resolve(const Node& node, const std::string& path);

 private:
  Value resolve_record(const Node& node, const std::string& path);
  Value resolve_list(const Node& node, const std::string& path);
  Value resolve_reference(const Node& node, const std::string& path);
  Value resolve_conjunction(const Node& node, const std::string& path);
  Value resolve_disjunction(const Node& node, const std::string& path);
  // Merges `from` into `into`: records field by field. Scalars must be equal, and lists cannot be merged; a
  // problem is added otherwise.
  void merge(Value& into, Value from, const std::string& path);
  void add_problem(Position position, const std::string& path, const std::string& wanted,
                   const std::string& found);

  const Node& root_;
  std::vector<Problem>& problems_;
  std::vector<const Field*> active_references_;  // definitions being resolved, the outermost first
  std::size_t value_count_ = 0;
  bool is_limit_exceeded_ = false;
};

}  // namespace ashbeam::records
