#include "metadata/json.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace ashbeam::metadata {

namespace {

// nlohmann's parser is not recursive and checks UTF-8; what it would let pass (members twice, fractions,
// depth) is refused here as it comes by.
class Builder : public nlohmann::json_sax<nlohmann::json> {
 public:
  Builder(const Bounds& bounds, std::string& problem) : bounds_(bounds), problem_(problem) {}
  Node root;

  bool null() override { return add(Node{}); }
  bool boolean(bool v) override {
    Node n;
    n.kind = Node::Kind::kBool, n.truth = v;
    return add(std::move(n));
  }
  bool number_integer(number_integer_t v) override { return number(v); }
  bool number_unsigned(number_unsigned_t v) override {
    if (v > static_cast<number_unsigned_t>(INT64_MAX)) return fail("a number over 2^63");
    return number(static_cast<std::int64_t>(v));
  }
  // Guards against 1e0 and 1.0, which some would read as 1 and sign as something else.
  bool number_float(number_float_t, const string_t&) override { return fail("a number that is not whole"); }
  bool string(string_t& v) override {
    Node n;
    n.kind = Node::Kind::kString, n.text = std::move(v);
    return add(std::move(n));
  }
  bool binary(binary_t&) override { return fail("binary"); }
  bool start_object(std::size_t) override { return open(Node::Kind::kObject); }
  bool start_array(std::size_t) override { return open(Node::Kind::kList); }
  bool key(string_t& v) override {
    names_.push_back(std::move(v));
    return true;
  }
  bool end_object() override {
    auto& members = open_.back()->members;
    std::stable_sort(members.begin(), members.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    const auto twice = std::adjacent_find(members.begin(), members.end(),
                                          [](const auto& a, const auto& b) { return a.first == b.first; });
    if (twice != members.end()) return fail("the member '" + twice->first.substr(0, 40) + "' twice");
    open_.pop_back();
    return true;
  }
  bool end_array() override {
    open_.pop_back();
    return true;
  }
  bool parse_error(std::size_t at, const std::string&, const nlohmann::detail::exception&) override {
    return fail("no JSON at byte " + std::to_string(at));
  }

 private:
  bool fail(const std::string& why) {
    if (problem_.empty()) problem_ = why;
    return false;
  }
  bool number(std::int64_t v) {
    Node n;
    n.kind = Node::Kind::kNumber, n.number = v;
    return add(std::move(n));
  }
  Node* place(Node n) {
    if (open_.empty()) return &(root = std::move(n));
    Node& into = *open_.back();
    if (into.kind == Node::Kind::kList) return &into.items.emplace_back(std::move(n));
    into.members.emplace_back(std::move(names_.back()), std::move(n));
    names_.pop_back();
    return &into.members.back().second;
  }
  bool add(Node n) {
    if (++nodes_ > bounds_.nodes) return fail("more than " + std::to_string(bounds_.nodes) + " values");
    place(std::move(n));
    return true;
  }
  // The pointers stand: a container grows only while it is the innermost that is open.
  bool open(Node::Kind kind) {
    if (open_.size() >= bounds_.depth)
      return fail("deeper than " + std::to_string(bounds_.depth) + " levels");
    if (++nodes_ > bounds_.nodes) return fail("more than " + std::to_string(bounds_.nodes) + " values");
    Node n;
    n.kind = kind;
    open_.push_back(place(std::move(n)));
    return true;
  }
  const Bounds& bounds_;
  std::string& problem_;
  std::vector<Node*> open_;
  std::vector<std::string> names_;
  std::size_t nodes_ = 0;
};

void write_text(std::string& to, const std::string& text, bool escaped) {
  to += '"';
  for (const char c : text) {
    if (escaped && static_cast<unsigned char>(c) < ' ') {
      constexpr char kHex[] = "0123456789abcdef";
      to.append("\\u00").append(
          {kHex[static_cast<unsigned char>(c) >> 4U], kHex[static_cast<unsigned char>(c) & 15U]});
      continue;
    }
    if (c == '"' || c == '\\') to += '\\';
    to += c;
  }
  to += '"';
}

}  // namespace

const Node* Node::find(std::string_view name) const {
  const auto at = std::lower_bound(members.begin(), members.end(), name,
                                   [](const auto& m, std::string_view n) { return m.first < n; });
  return at != members.end() && at->first == name ? &at->second : nullptr;
}

const Node* Node::find(std::string_view name, Kind wanted) const {
  const Node* const n = find(name);
  return n && n->kind == wanted ? n : nullptr;
}

std::string Node::canonical() const {
  std::string all;
  write(all, false);
  return all;
}

std::string Node::json() const {
  std::string all;
  write(all, true);
  return all;
}

void Node::write(std::string& to, bool escaped) const {
  switch (kind) {
    case Kind::kNull:
      to += "null";
      break;
    case Kind::kBool:
      to += truth ? "true" : "false";
      break;
    case Kind::kNumber:
      to += std::to_string(number);
      break;
    case Kind::kString:
      write_text(to, text, escaped);
      break;
    case Kind::kList:
      to += '[';
      for (std::size_t i = 0; i < items.size(); ++i) {
        if (i > 0) to += ',';
        items[i].write(to, escaped);
      }
      to += ']';
      break;
    case Kind::kObject:
      to += '{';
      for (std::size_t i = 0; i < members.size(); ++i) {
        if (i > 0) to += ',';
        write_text(to, members[i].first, escaped);
        to += ':';
        members[i].second.write(to, escaped);
      }
      to += '}';
      break;
  }
}

std::optional<Node> read(std::string_view text, const Bounds& bounds, std::string& problem) {
  problem.clear();
  if (text.size() > bounds.bytes) {
    problem = std::to_string(text.size()) + " bytes, at most " + std::to_string(bounds.bytes);
    return std::nullopt;
  }
  Builder builder(bounds, problem);
  const bool good = nlohmann::json::sax_parse(text, &builder, nlohmann::json::input_format_t::json, true);
  if (good && problem.empty()) return std::move(builder.root);
  if (problem.empty()) problem = "no JSON";
  return std::nullopt;
}

}  // namespace ashbeam::metadata
