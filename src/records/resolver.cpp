#include "records/resolver.hpp"

#include <algorithm>
#include <utility>

#include "records/limits.hpp"

namespace ashbeam::records {

namespace {

bool are_scalars_equal(const Value& a, const Value& b) {
  return a.kind == b.kind && a.text == b.text && a.number == b.number && a.boolean == b.boolean;
}

Value make_value(const Node& node, Value::Kind kind) {
  Value value;
  value.kind = kind;
  value.position = node.position;
  return value;
}

}  // namespace

Value Resolver::resolve(const Node& node, const std::string& path) {
  Value value = make_value(node, Value::Kind::kNone);
  if (is_limit_exceeded_) return value;
  // Definitions that refer twice to the one before them double the number of values at each level.
  if (++value_count_ > kMaxNodes) {
    is_limit_exceeded_ = true;
    add_problem(node.position, path,
                "at most " + std::to_string(kMaxNodes) + " values once references are resolved", "more");
    return value;
  }
  switch (node.kind) {
    case Node::Kind::kString:
      value.kind = Value::Kind::kString;
      value.text = node.text;
      return value;
    case Node::Kind::kNumber:
      value.kind = Value::Kind::kNumber;
      value.number = node.number;
      value.is_integer = node.is_integer;
      return value;
    case Node::Kind::kBool:
      value.kind = Value::Kind::kBool;
      value.boolean = node.boolean;
      return value;
    case Node::Kind::kType:
    case Node::Kind::kBound:
      add_problem(node.position, path, "a value", "the type or bound " + node.text);
      return value;
    case Node::Kind::kRecord:
      return resolve_record(node, path);
    case Node::Kind::kList:
      return resolve_list(node, path);
    case Node::Kind::kReference:
      return resolve_reference(node, path);
    case Node::Kind::kConjunction:
      return resolve_conjunction(node, path);
    case Node::Kind::kDisjunction:
      return resolve_disjunction(node, path);
  }
  return value;
}

Value Resolver::resolve_record(const Node& node, const std::string& path) {
  Value record = make_value(node, Value::Kind::kRecord);
  for (const Field& field : node.fields) {
    const bool is_definition = field.name[0] == '#';
    if (is_definition) continue;
    const std::string path_of_field = field_path(path, field.name);
    if (field.optional)
      add_problem(field.position, path_of_field, "a field with a value", "an optional field");
    record.fields.push_back({field.name, resolve(*field.value, path_of_field)});
    record.fields.back().value.name_position = field.position;
  }
  return record;
}

Value Resolver::resolve_list(const Node& node, const std::string& path) {
  Value list = make_value(node, Value::Kind::kList);
  if (node.further_items) add_problem(node.position, path, "a list without ...", "an open list");
  for (const NodePtr& item : node.operands) {
    list.items.push_back(resolve(*item, path + "." + std::to_string(list.items.size())));
  }
  return list;
}

Value Resolver::resolve_reference(const Node& node, const std::string& path) {
  Value unresolved = make_value(node, Value::Kind::kNone);
  const Field* const definition = find_field(root_, node.text);
  if (!definition) {
    add_problem(node.position, path, "the name of a definition in this file", node.text);
    return unresolved;
  }
  const bool is_recursive =
      std::find(active_references_.begin(), active_references_.end(), definition) != active_references_.end();
  if (is_recursive) {
    add_problem(node.position, path, "a definition that does not refer to itself", node.text);
    return unresolved;
  }
  if (active_references_.size() >= kMaxDepth) {
    add_problem(node.position, path, "at most " + std::to_string(kMaxDepth) + " nested references",
                node.text);
    return unresolved;
  }
  active_references_.push_back(definition);
  Value value = resolve(*definition->value, path);
  value.position = node.position;
  active_references_.pop_back();
  return value;
}

Value Resolver::resolve_conjunction(const Node& node, const std::string& path) {
  Value merged;
  for (const NodePtr& operand : node.operands) {
    Value value = resolve(*operand, path);
    if (merged.kind == Value::Kind::kNone) merged = std::move(value);
    else merge(merged, std::move(value), path);
  }
  merged.position = node.position;
  return merged;
}

Value Resolver::resolve_disjunction(const Node& node, const std::string& path) {
  if (node.default_index) return resolve(*node.operands[*node.default_index], path);
  add_problem(node.position, path, "a value", "alternatives without a default");
  return make_value(node, Value::Kind::kNone);
}

void Resolver::merge(Value& into, Value from, const std::string& path) {
  if (into.kind != Value::Kind::kRecord || from.kind != Value::Kind::kRecord) {
    if (into.kind == Value::Kind::kList || !are_scalars_equal(into, from)) {
      add_problem(from.position, path, describe(into) + " as in an earlier operand of &", describe(from));
    }
    return;
  }
  for (NamedValue& field : from.fields) {
    const auto same_name = std::find_if(into.fields.begin(), into.fields.end(),
                                        [&](const NamedValue& other) { return other.name == field.name; });
    if (same_name == into.fields.end()) into.fields.push_back(std::move(field));
    else merge(same_name->value, std::move(field.value), field_path(path, field.name));
  }
}

void Resolver::add_problem(Position position, const std::string& path, const std::string& wanted,
                           const std::string& found) {
  if (problems_.size() >= kMaxProblems) return;
  problems_.push_back({position, path, "wanted " + wanted + ", found " + found});
}

}  // namespace ashbeam::records
