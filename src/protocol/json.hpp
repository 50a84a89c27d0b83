// JSON as a view of its text: checked once as a whole, then read in place, without types of its own.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace ashbeam {

class Json {
 public:
  // Nothing where the text is not one whole JSON value, or is nested deeper than `kDeepest`. The text must
  // outlive what is read from it.
  static std::optional<Json> parse(std::string_view text);
  static constexpr int kDeepest = 32;

  bool is_object() const { return text_[0] == '{'; }
  bool is_list() const { return text_[0] == '['; }
  bool is_text() const { return text_[0] == '"'; }
  std::string_view raw() const { return text_; }

  std::optional<double> number() const;
  std::optional<bool> truth() const;
  std::optional<std::string> text() const;
  std::optional<Json> member(std::string_view name) const;  // of an object
  double number(std::string_view name, double otherwise) const;
  std::string text(std::string_view name) const;  // empty where there is none
  void each_member(const std::function<void(const std::string&, const Json&)>& what) const;
  void each_item(const std::function<void(const Json&)>& what) const;

 private:
  explicit Json(std::string_view text) : text_(text) {}
  std::string_view text_;  // without blanks around it
};

std::string json_text(std::string_view plain);  // quoted and escaped

}  // namespace ashbeam
