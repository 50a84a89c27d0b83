#include "records/constraint.hpp"

#include <cstdint>
#include <stdexcept>

namespace ashbeam::records {

namespace {

bool has_type(const Value& value, ScalarType type) {
  switch (type) {
    case ScalarType::kString:
      return value.kind == Value::Kind::kString;
    case ScalarType::kBool:
      return value.kind == Value::Kind::kBool;
    case ScalarType::kDuration:
      return value.kind == Value::Kind::kString && parse_duration(value.text);
    case ScalarType::kNumber:
      return value.kind == Value::Kind::kNumber;
    case ScalarType::kInteger:
      return value.kind == Value::Kind::kNumber && value.is_integer;
  }
  return false;
}

template <class Number>
bool is_within_bound(Number value, BoundOperator bound, Number limit) {
  switch (bound) {
    case BoundOperator::kNotEqual:
      return value != limit;
    case BoundOperator::kLess:
      return value < limit;
    case BoundOperator::kLessOrEqual:
      return value <= limit;
    case BoundOperator::kGreater:
      return value > limit;
    case BoundOperator::kGreaterOrEqual:
      return value >= limit;
  }
  return false;
}

// A limit in quotes is a duration, except after !=, which compares strings.
bool satisfies_bound(const Node& constraint, const Value& value) {
  const Node& limit = *constraint.operands[0];
  if (limit.kind != Node::Kind::kString) {
    return value.kind == Value::Kind::kNumber &&
           is_within_bound(value.number, constraint.bound, limit.number);
  }
  if (value.kind != Value::Kind::kString) return false;
  if (constraint.bound == BoundOperator::kNotEqual) return value.text != limit.text;
  const auto limit_duration = parse_duration(limit.text);
  if (!limit_duration)
    throw std::logic_error("schema: bound \"" + constraint.text + "\" needs a duration like 10m, found \"" +
                           limit.text + "\"");
  const auto duration = parse_duration(value.text);
  return duration && is_within_bound(duration->us(), constraint.bound, limit_duration->us());
}

}  // namespace

bool satisfies(const Node& constraint, const Value& value) {
  switch (constraint.kind) {
    case Node::Kind::kString:
      return value.kind == Value::Kind::kString && value.text == constraint.text;
    case Node::Kind::kNumber:
      return value.kind == Value::Kind::kNumber && value.number == constraint.number;
    case Node::Kind::kBool:
      return value.kind == Value::Kind::kBool && value.boolean == constraint.boolean;
    case Node::Kind::kType:
      return has_type(value, constraint.type);
    case Node::Kind::kBound:
      return satisfies_bound(constraint, value);
    default:
      return false;
  }
}

}  // namespace ashbeam::records
