#include "metadata/json.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace ashbeam::metadata {

namespace {

constexpr std::size_t kMaxNameBytesInError = 40;

bool name_less(const JsonMember& a, const JsonMember& b) { return a.name < b.name; }
bool name_equal(const JsonMember& a, const JsonMember& b) { return a.name == b.name; }

// Creates a tree of values from the events of nlohmann's parser. That parser is not recursive and checks
// UTF-8. What it accepts beyond canonical JSON is refused here: repeated members, fractions and unlimited
// depth.
class NodeBuilder : public nlohmann::json_sax<nlohmann::json> {
 public:
  NodeBuilder(const JsonLimits& limits, std::string& error) : limits_(limits), error_(error) {}

  JsonNode take_root() { return std::move(root_); }

  bool null() override { return add_node(JsonNode{}) != nullptr; }
  bool boolean(bool value) override { return add_node(json_bool(value)) != nullptr; }
  bool number_integer(number_integer_t value) override { return add_node(json_number(value)) != nullptr; }
  bool number_unsigned(number_unsigned_t value) override {
    if (value > static_cast<number_unsigned_t>(INT64_MAX)) return fail("a number over 2^63");
    return add_node(json_number(static_cast<std::int64_t>(value))) != nullptr;
  }
  // Also refuses 1e0 and 1.0: such a number can be written in several ways, so that the form over which the
  // signature is computed would be ambiguous.
  bool number_float(number_float_t, const string_t&) override { return fail("a number that is not whole"); }
  bool string(string_t& value) override { return add_node(json_string(std::move(value))) != nullptr; }
  bool binary(binary_t&) override { return fail("binary"); }
  bool start_object(std::size_t) override { return open_container(JsonNode::Kind::kObject); }
  bool start_array(std::size_t) override { return open_container(JsonNode::Kind::kArray); }
  bool key(string_t& value) override {
    pending_names_.push_back(std::move(value));
    return true;
  }
  bool end_object() override {
    auto& members = open_containers_.back()->members;
    std::stable_sort(members.begin(), members.end(), name_less);
    const auto repeated = std::adjacent_find(members.begin(), members.end(), name_equal);
    if (repeated != members.end())
      return fail("the member '" + repeated->name.substr(0, kMaxNameBytesInError) + "' twice");
    open_containers_.pop_back();
    return true;
  }
  bool end_array() override {
    open_containers_.pop_back();
    return true;
  }
  bool parse_error(std::size_t at, const std::string&, const nlohmann::detail::exception&) override {
    return fail("no JSON at byte " + std::to_string(at));
  }

 private:
  bool fail(const std::string& error) {
    if (error_.empty()) error_ = error;
    return false;
  }
  // Adds a value to the innermost open container. Returns null if the text has too many values.
  JsonNode* add_node(JsonNode node) {
    if (++node_count_ > limits_.max_nodes) {
      fail("more than " + std::to_string(limits_.max_nodes) + " values");
      return nullptr;
    }
    if (open_containers_.empty()) return &(root_ = std::move(node));
    JsonNode& parent = *open_containers_.back();
    if (parent.kind == JsonNode::Kind::kArray) return &parent.items.emplace_back(std::move(node));
    parent.members.push_back({std::move(pending_names_.back()), std::move(node)});
    pending_names_.pop_back();
    return &parent.members.back().value;
  }
  bool open_container(JsonNode::Kind kind) {
    if (open_containers_.size() >= limits_.max_depth)
      return fail("deeper than " + std::to_string(limits_.max_depth) + " levels");
    JsonNode node;
    node.kind = kind;
    JsonNode* const added = add_node(std::move(node));
    if (added) open_containers_.push_back(added);
    return added != nullptr;
  }

  const JsonLimits& limits_;
  std::string& error_;
  JsonNode root_;
  // The pointers stay valid, because a container grows only while it is the innermost open one.
  std::vector<JsonNode*> open_containers_;
  std::vector<std::string> pending_names_;  // of members whose value has not been parsed yet
  std::size_t node_count_ = 0;
};

void write_string(std::string& output, const std::string& text, bool escape_control) {
  constexpr char kHexDigits[] = "0123456789abcdef";
  output += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (escape_control && byte < ' ') {
      output.append("\\u00").append({kHexDigits[byte >> 4U], kHexDigits[byte & 15U]});
      continue;
    }
    if (c == '"' || c == '\\') output += '\\';
    output += c;
  }
  output += '"';
}

}  // namespace

const JsonNode* JsonNode::find(std::string_view name) const {
  const auto entry = std::lower_bound(
      members.begin(), members.end(), name,
      [](const JsonMember& member, std::string_view wanted) { return member.name < wanted; });
  return entry != members.end() && entry->name == name ? &entry->value : nullptr;
}

const JsonNode* JsonNode::find(std::string_view name, Kind wanted) const {
  const JsonNode* const node = find(name);
  return node && node->kind == wanted ? node : nullptr;
}

JsonNode* JsonNode::find(std::string_view name, Kind wanted) {
  return const_cast<JsonNode*>(std::as_const(*this).find(name, wanted));
}

std::string JsonNode::to_canonical_json() const {
  std::string output;
  write(output, false);
  return output;
}

std::string JsonNode::to_json() const {
  std::string output;
  write(output, true);
  return output;
}

void JsonNode::write(std::string& output, bool escape_control) const {
  switch (kind) {
    case Kind::kNull:
      output += "null";
      break;
    case Kind::kBool:
      output += boolean ? "true" : "false";
      break;
    case Kind::kNumber:
      output += std::to_string(number);
      break;
    case Kind::kString:
      write_string(output, text, escape_control);
      break;
    case Kind::kArray:
      write_array(output, escape_control);
      break;
    case Kind::kObject:
      write_object(output, escape_control);
      break;
  }
}

void JsonNode::write_array(std::string& output, bool escape_control) const {
  output += '[';
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (i > 0) output += ',';
    items[i].write(output, escape_control);
  }
  output += ']';
}

void JsonNode::write_object(std::string& output, bool escape_control) const {
  output += '{';
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (i > 0) output += ',';
    write_string(output, members[i].name, escape_control);
    output += ':';
    members[i].value.write(output, escape_control);
  }
  output += '}';
}

JsonNode json_string(std::string text) {
  JsonNode node;
  node.kind = JsonNode::Kind::kString;
  node.text = std::move(text);
  return node;
}

JsonNode json_number(std::int64_t number) {
  JsonNode node;
  node.kind = JsonNode::Kind::kNumber;
  node.number = number;
  return node;
}

JsonNode json_bool(bool boolean) {
  JsonNode node;
  node.kind = JsonNode::Kind::kBool;
  node.boolean = boolean;
  return node;
}

JsonNode json_array(std::vector<JsonNode> items) {
  JsonNode node;
  node.kind = JsonNode::Kind::kArray;
  node.items = std::move(items);
  return node;
}

JsonNode json_object(std::vector<JsonMember> members) {
  JsonNode node;
  node.kind = JsonNode::Kind::kObject;
  node.members = std::move(members);
  std::sort(node.members.begin(), node.members.end(), name_less);
  return node;
}

std::optional<JsonNode> parse_json(std::string_view text, const JsonLimits& limits, std::string& error) {
  error.clear();
  if (text.size() > limits.max_bytes) {
    error = std::to_string(text.size()) + " bytes, at most " + std::to_string(limits.max_bytes);
    return std::nullopt;
  }
  NodeBuilder builder(limits, error);
  const bool parsed = nlohmann::json::sax_parse(text, &builder, nlohmann::json::input_format_t::json, true);
  if (parsed && error.empty()) return builder.take_root();
  if (error.empty()) error = "no JSON";
  return std::nullopt;
}

}  // namespace ashbeam::metadata
