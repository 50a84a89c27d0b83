// What a scalar of the schema demands of a value.
#pragma once
#include "records/parser.hpp"
#include "records/value.hpp"

namespace ashbeam::records {

// Whether the value meets a string, number, bool, type or bound of the schema. Throws std::logic_error where
// the schema's bound is malformed.
bool satisfies(const Node& constraint, const Value& value);

}  // namespace ashbeam::records
