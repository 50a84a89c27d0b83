// Checks a scalar value against a scalar constraint of a schema.
#pragma once
#include "records/parser.hpp"
#include "records/value.hpp"

namespace ashbeam::records {

// Whether the value satisfies the constraint: equals a string, number or bool, has a type, or is within a
// bound. Returns false for any other kind of constraint. Throws std::logic_error if the bound's quoted limit
// is not a duration.
bool satisfies(const Node& constraint, const Value& value);

}  // namespace ashbeam::records
