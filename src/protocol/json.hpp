// Reads JSON (RFC 8259) in place. The text is validated once as a whole; a Json value is then a view of its
// part of the text, and members, elements and scalars are parsed when they are asked for.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ashbeam {

// One JSON value.
class Json {
 public:
  // Returns nothing if the text is not one complete JSON value in UTF-8, or is nested deeper than
  // `kMaxDepth`. The text must outlive the value and all values read from it.
  static std::optional<Json> parse(std::string_view text);
  static constexpr int kMaxDepth = 32;

  bool is_object() const { return text_[0] == '{'; }
  bool is_array() const { return text_[0] == '['; }
  bool is_string() const { return text_[0] == '"'; }
  // Returns the value's JSON text.
  std::string_view raw() const { return text_; }

  // These return nothing if the value is of another type. number() also returns nothing if the number is too
  // large for a double.
  std::optional<double> number() const;
  std::optional<bool> boolean() const;
  std::optional<std::string> text() const;

  // Returns the last member of that name. Returns nothing if there is none, or if the value is not an object.
  std::optional<Json> member(std::string_view name) const;
  // Returns the member's number, or `default_value` if there is no such member or it is not a number.
  double number(std::string_view name, double default_value) const;
  // Returns the member's string, or an empty one if there is no such member or it is not a string.
  std::string text(std::string_view name) const;
  // These call `visit` for each member or element in order, and never if the value is of another type.
  void for_each_member(const std::function<void(const std::string&, const Json&)>& visit) const;
  void for_each_element(const std::function<void(const Json&)>& visit) const;

 private:
  explicit Json(std::string_view text) : text_(text) {}

  std::string_view text_;  // of the value, without whitespace around it
};

// Returns the text as a JSON string, with quotes and escapes.
std::string json_quoted(std::string_view plain);

}  // namespace ashbeam
