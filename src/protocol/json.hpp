// JSON (RFC 8259) as a view of its text: checked once as a whole, then read in place, without types of its
// own.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ashbeam {

class Json {
 public:
  // Nothing where the text is not one complete JSON value in UTF-8, or is nested deeper than `kMaxDepth`. The
  // text must outlive what is read from it.
  static std::optional<Json> parse(std::string_view text);
  static constexpr int kMaxDepth = 32;

  bool is_object() const { return text_[0] == '{'; }
  bool is_array() const { return text_[0] == '['; }
  bool is_string() const { return text_[0] == '"'; }
  std::string_view raw() const { return text_; }

  // Nothing where the value is of another type; a number also where it is too large for a double.
  std::optional<double> number() const;
  std::optional<bool> boolean() const;
  std::optional<std::string> text() const;

  // Of an object: the last member of that name.
  std::optional<Json> member(std::string_view name) const;
  double number(std::string_view name, double default_value) const;
  std::string text(std::string_view name) const;  // empty where there is none
  // These visit nothing where the value is of another type.
  void for_each_member(const std::function<void(const std::string&, const Json&)>& visit) const;
  void for_each_element(const std::function<void(const Json&)>& visit) const;

 private:
  explicit Json(std::string_view text) : text_(text) {}

  std::string_view text_;  // of the value, without blanks around it
};

// A JSON string: quoted and escaped.
std::string json_quoted(std::string_view plain);

}  // namespace ashbeam
