#include "records/schema.hpp"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

#include "records/constraint.hpp"
#include "records/limits.hpp"
#include "records/parser.hpp"
#include "records/resolver.hpp"

namespace ashbeam::records {

namespace {

std::string join_field_names(const Node& record) {
  std::string names;
  for (const Field& field : record.fields) names.append(names.empty() ? "" : ", ").append(field.name);
  return names;
}

// Unifies values with the constraints of a schema: checks them and adds the schema's defaults.
class SchemaChecker {
 public:
  SchemaChecker(const Node& schema, std::vector<Problem>& problems) : schema_(schema), problems_(problems) {}

  // Returns the value with the defaults of `constraint`. Adds a problem for each part of it that does not
  // satisfy the constraint.
  Value unify(const Node& constraint, Value value, const std::string& path) {
    switch (constraint.kind) {
      case Node::Kind::kReference:
        return unify(definition(constraint), std::move(value), path);
      case Node::Kind::kConjunction:
        return unify_conjunction(constraint, std::move(value), path);
      case Node::Kind::kDisjunction:
        return unify_disjunction(constraint, std::move(value), path);
      case Node::Kind::kRecord:
        return unify_record(constraint, std::move(value), path);
      case Node::Kind::kList:
        return unify_list(constraint, std::move(value), path);
      default:
        if (!satisfies(constraint, value))
          add_problem(value.position, path, describe(constraint), describe(value));
        return value;
    }
  }

 private:
  void add_problem(Position position, const std::string& path, const std::string& wanted,
                   const std::string& found) {
    if (problems_.size() >= kMaxProblems) return;
    problems_.push_back({position, path.empty() ? "file" : path, "wanted " + wanted + ", found " + found});
  }

  const Node& definition(const Node& reference) const {
    const Field* const field = find_field(schema_, reference.text);
    if (!field) throw std::logic_error("schema: undefined reference " + reference.text);
    return *field->value;
  }

  Value unify_conjunction(const Node& constraint, Value value, const std::string& path) {
    for (const NodePtr& operand : constraint.operands) {
      const std::size_t problems_before = problems_.size();
      value = unify(*operand, std::move(value), path);
      if (problems_.size() != problems_before) break;  // report the problems of one operand only
    }
    return value;
  }

  // Returns the value unified with the first alternative that leaves no problem. If there is none, reports
  // for a record or list the problems of the alternative that leaves the fewest, and for a scalar the list of
  // alternatives.
  Value unify_disjunction(const Node& constraint, Value value, const std::string& path) {
    if (!value.is_given() && constraint.default_index)
      return resolve_default(constraint, value.position, path);
    std::vector<Problem> outer_problems;
    outer_problems.swap(problems_);
    std::vector<Problem> fewest_problems;
    const bool is_compound = value.kind == Value::Kind::kRecord || value.kind == Value::Kind::kList;
    for (const NodePtr& alternative : constraint.operands) {
      problems_.clear();
      Value unified = unify(*alternative, value, path);
      if (problems_.empty()) {
        problems_.swap(outer_problems);
        return unified;
      }
      const bool has_fewer_problems = fewest_problems.empty() || problems_.size() < fewest_problems.size();
      if (is_compound && has_fewer_problems) fewest_problems = problems_;
    }
    problems_.swap(outer_problems);
    if (fewest_problems.empty()) add_problem(value.position, path, describe(constraint), describe(value));
    for (Problem& problem : fewest_problems) {
      if (problems_.size() < kMaxProblems) problems_.push_back(std::move(problem));
    }
    return value;
  }

  Value resolve_default(const Node& disjunction, Position position, const std::string& path) const {
    std::vector<Problem> problems;
    const Node& operand = *disjunction.operands[*disjunction.default_index];
    Value value = Resolver(schema_, problems).resolve(operand, path);
    if (!problems.empty()) throw std::logic_error("schema: default is not a concrete value at " + path);
    value.position = position;
    return value;
  }

  Value unify_record(const Node& constraint, Value value, const std::string& path) {
    if (!value.is_given()) value.kind = Value::Kind::kRecord;  // with its fields' defaults
    if (value.kind != Value::Kind::kRecord) {
      add_problem(value.position, path, "a record", describe(value));
      return value;
    }
    reject_unknown_fields(constraint, value, path);
    std::vector<NamedValue> unified;
    for (const Field& field : constraint.fields) {
      Value given;
      given.position = value.position;
      for (NamedValue& named : value.fields) {
        if (named.name == field.name) given = std::move(named.value);
      }
      if (given.is_given() || !field.optional) {
        given = unify(*field.value, std::move(given), field_path(path, field.name));
      }
      unified.push_back({field.name, std::move(given)});
    }
    value.fields = std::move(unified);
    return value;
  }

  void reject_unknown_fields(const Node& constraint, const Value& record, const std::string& path) {
    for (const NamedValue& field : record.fields) {
      if (find_field(constraint, field.name)) continue;
      add_problem(field.value.name_position, field_path(path, field.name),
                  "one of " + join_field_names(constraint), "the field " + field.name);
    }
  }

  Value unify_list(const Node& constraint, Value value, const std::string& path) {
    if (!value.is_given() && constraint.operands.empty()) value.kind = Value::Kind::kList;
    if (value.kind != Value::Kind::kList) {
      add_problem(value.position, path, "a list", describe(value));
      return value;
    }
    for (std::size_t i = 0; i < value.items.size(); ++i) {
      Value& item = value.items[i];
      const NodePtr& item_constraint =
          i < constraint.operands.size() ? constraint.operands[i] : constraint.further_items;
      const std::string item_path = path + "." + std::to_string(i);
      if (item_constraint) item = unify(*item_constraint, std::move(item), item_path);
      else
        add_problem(item.position, item_path,
                    "at most " + std::to_string(constraint.operands.size()) + " items", describe(item));
    }
    if (value.items.size() < constraint.operands.size()) {
      add_problem(value.position, path, std::to_string(constraint.operands.size()) + " items",
                  std::to_string(value.items.size()));
    }
    return value;
  }

  // Returns the constraint as it is shown in the message of a problem.
  std::string describe(const Node& node) const {
    switch (node.kind) {
      case Node::Kind::kString:
        return quoted(node.text);
      case Node::Kind::kBound:
        return node.text + describe(*node.operands[0]);
      case Node::Kind::kRecord:
        return "a record";
      case Node::Kind::kList:
        return "a list";
      case Node::Kind::kReference:
        return describe(definition(node));
      case Node::Kind::kConjunction:
        return describe_operands(node, " & ");
      case Node::Kind::kDisjunction:
        return describe_operands(node, " | ");
      default:
        return node.text;
    }
  }
  std::string describe_operands(const Node& node, const char* separator) const {
    std::string joined;
    for (const NodePtr& operand : node.operands) {
      joined.append(joined.empty() ? "" : separator).append(describe(*operand));
    }
    return joined;
  }
  static std::string describe(const Value& value) { return records::describe(value); }

  const Node& schema_;
  std::vector<Problem>& problems_;
};

bool is_before(const Problem& a, const Problem& b) {
  if (a.position.line != b.position.line) return a.position.line < b.position.line;
  return a.position.column < b.position.column;
}

}  // namespace

CheckedFile check_against_schema(std::string_view schema, std::string_view definition,
                                 std::string_view file) {
  const ParsedText parsed_schema = parse(schema);
  if (!parsed_schema.problems.empty()) {
    throw std::logic_error("schema: " + format_problems("schema", parsed_schema.problems));
  }
  const Field* const file_constraint = find_field(*parsed_schema.root, definition);
  if (!file_constraint) throw std::logic_error("schema: undefined definition " + std::string(definition));
  CheckedFile checked;
  ParsedText parsed = parse(file);
  checked.problems = std::move(parsed.problems);
  const bool is_well_formed = checked.problems.empty();
  Value concrete = Resolver(*parsed.root, checked.problems).resolve(*parsed.root, "");
  concrete.position = {1, 1};
  // A malformed file is not checked: fields that could not be parsed would be reported again as missing.
  if (is_well_formed) {
    checked.value = SchemaChecker(*parsed_schema.root, checked.problems)
                        .unify(*file_constraint->value, std::move(concrete), "");
  }
  std::stable_sort(checked.problems.begin(), checked.problems.end(), is_before);
  return checked;
}

}  // namespace ashbeam::records
