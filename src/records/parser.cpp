#include "records/parser.hpp"

#include <charconv>
#include <cmath>
#include <utility>

#include "records/lexer.hpp"
#include "records/limits.hpp"

namespace ashbeam::records {

namespace {

constexpr std::size_t kMaxShownBytes = 40;  // of a token, in the message of a problem

std::string describe(const Token& token) {
  switch (token.kind) {
    case Token::Kind::kEnd:
      return "the end of the file";
    case Token::Kind::kLineEnd:
      return "the end of the line";
    case Token::Kind::kString:
      return quoted(token.text);
    default:
      return token.text.substr(0, kMaxShownBytes);
  }
}

std::optional<ScalarType> scalar_type(std::string_view word) {
  if (word == "string") return ScalarType::kString;
  if (word == "int") return ScalarType::kInteger;
  if (word == "number") return ScalarType::kNumber;
  if (word == "bool") return ScalarType::kBool;
  if (word == "span") return ScalarType::kDuration;
  return std::nullopt;
}

std::optional<BoundOperator> bound_operator(const Token& token) {
  if (token.kind != Token::Kind::kPunctuation) return std::nullopt;
  if (token.text == "!=") return BoundOperator::kNotEqual;
  if (token.text == "<") return BoundOperator::kLess;
  if (token.text == "<=") return BoundOperator::kLessOrEqual;
  if (token.text == ">") return BoundOperator::kGreater;
  if (token.text == ">=") return BoundOperator::kGreaterOrEqual;
  return std::nullopt;
}

// A recursive-descent parser with one token of look-ahead.
class Parser {
 public:
  explicit Parser(std::string_view text) : lexer_(text) { advance(); }

  ParsedText parse() {
    ParsedText parsed;
    parsed.root = make_node(Node::Kind::kRecord);
    parse_fields(*parsed.root, true);
    parsed.problems = std::move(problems_);
    return parsed;
  }

 private:
  struct FieldError {};  // thrown to abandon the current field after its problem has been recorded

  // ---- Tokens ----

  void advance() { token_ = lexer_.next(); }
  bool is_at(Token::Kind kind) const { return token_.kind == kind; }
  bool is_at_punctuation(std::string_view punctuation) const {
    return is_at(Token::Kind::kPunctuation) && token_.text == punctuation;
  }
  void skip_line_ends() {
    while (is_at(Token::Kind::kLineEnd)) advance();
  }
  // Skips to the end of the line, or to the } that ends the enclosing record, past any brackets opened on the
  // way.
  void skip_rest_of_field() {
    unsigned open_brackets = 0;
    for (; !is_at(Token::Kind::kEnd); advance()) {
      if (open_brackets == 0 && is_at(Token::Kind::kLineEnd)) return;
      if (!is_at(Token::Kind::kPunctuation)) continue;
      const char c = token_.text.front();
      if (open_brackets == 0 && c == '}') return;
      if (c == '{' || c == '[') ++open_brackets;
      if ((c == '}' || c == ']') && open_brackets > 0) --open_brackets;
    }
  }

  // ---- Problems ----

  void add_problem(const std::string& wanted, const std::string& found) {
    if (problems_.size() >= kMaxProblems || is_limit_exceeded_) return stop_parsing();
    problems_.push_back({token_.position, path(), "wanted " + wanted + ", found " + found});
  }
  // Reports that `wanted` was expected instead of the current token, and abandons the current field.
  [[noreturn]] void fail(const std::string& wanted) {
    if (is_at(Token::Kind::kInvalid)) add_problem(token_.text, "an invalid string");
    else add_problem(wanted, describe(token_));
    throw FieldError{};
  }
  // Called when there are too many problems or values: skips the rest of the text and adds no further
  // problem.
  void stop_parsing() {
    is_limit_exceeded_ = true;
    lexer_.skip_to_end();
    token_ = Token{};
  }
  // Returns the path of the current field, or "file" outside all fields.
  std::string path() const {
    std::string joined;
    for (const std::string& name : path_) joined.append(joined.empty() ? "" : ".").append(name);
    return joined.empty() ? "file" : joined;
  }

  // ---- Syntax ----

  NodePtr make_node(Node::Kind kind) {
    if (++node_count_ > kMaxNodes) {
      add_problem("at most " + std::to_string(kMaxNodes) + " values in the file", "more");
      stop_parsing();
    }
    auto node = std::make_unique<Node>();
    node->kind = kind;
    node->position = token_.position;
    return node;
  }

  void parse_fields(Node& record, bool is_file) {
    for (;;) {
      while (is_at(Token::Kind::kLineEnd) || is_at_punctuation(",")) advance();
      if (is_at(Token::Kind::kEnd)) {
        if (!is_file) fail("}");
        return;
      }
      if (!is_file && is_at_punctuation("}")) return;
      const unsigned depth = depth_;
      const std::size_t path_length = path_.size();
      try {
        parse_field(record);
      } catch (FieldError) {
        depth_ = depth;
        path_.resize(path_length);
        skip_rest_of_field();
      }
    }
  }

  void parse_field(Node& record) {
    if (!is_at(Token::Kind::kIdentifier) && !is_at(Token::Kind::kString)) fail("a field name");
    Field field;
    field.name = token_.text;
    field.position = token_.position;
    path_.push_back(field.name);
    reject_duplicate(record, field.name);
    advance();
    if (is_at_punctuation("?")) {
      field.optional = true;
      advance();
    }
    if (!is_at_punctuation(":")) fail(":");
    advance();
    skip_line_ends();
    field.value = parse_disjunction();
    const bool is_field_end = is_at(Token::Kind::kLineEnd) || is_at(Token::Kind::kEnd) ||
                              is_at_punctuation(",") || is_at_punctuation("}");
    if (!is_field_end) fail("the end of the line or ,");
    path_.pop_back();
    record.fields.push_back(std::move(field));
  }

  void reject_duplicate(const Node& record, const std::string& name) {
    const Field* const first = find_field(record, name);
    if (!first) return;
    add_problem("each field at most once",
                "a second " + name + " (the first is on line " + std::to_string(first->position.line) + ")");
    throw FieldError{};
  }

  // Parses a | *b | c, or a single operand. The * marks the default.
  NodePtr parse_disjunction() {
    if (++depth_ > kMaxDepth) fail("at most " + std::to_string(kMaxDepth) + " nested levels");
    NodePtr disjunction = make_node(Node::Kind::kDisjunction);
    std::vector<NodePtr>& operands = disjunction->operands;
    do {
      if (!operands.empty()) skip_operator();
      if (is_at_punctuation("*")) {
        if (disjunction->default_index) fail("at most one default");
        disjunction->default_index = operands.size();
        advance();
      }
      operands.push_back(parse_conjunction());
    } while (is_at_punctuation("|"));
    --depth_;
    if (operands.size() == 1 && !disjunction->default_index) return std::move(operands[0]);
    return disjunction;
  }

  // Parses a & b, or a single operand.
  NodePtr parse_conjunction() {
    NodePtr conjunction = make_node(Node::Kind::kConjunction);
    std::vector<NodePtr>& operands = conjunction->operands;
    do {
      if (!operands.empty()) skip_operator();
      operands.push_back(parse_operand());
    } while (is_at_punctuation("&"));
    if (operands.size() == 1) return std::move(operands[0]);
    return conjunction;
  }

  void skip_operator() {
    advance();
    skip_line_ends();
  }

  NodePtr parse_operand() {
    if (is_at_punctuation("(")) return parse_parenthesis();
    if (is_at_punctuation("{")) return parse_record();
    if (is_at_punctuation("[")) return parse_list();
    if (const auto bound = bound_operator(token_)) return parse_bound(*bound);
    if (is_at(Token::Kind::kString)) return parse_string();
    if (is_at(Token::Kind::kNumber)) return parse_number();
    if (is_at(Token::Kind::kIdentifier)) return parse_identifier();
    fail("a value");
  }

  NodePtr parse_parenthesis() {
    advance();
    NodePtr inside = parse_disjunction();
    if (!is_at_punctuation(")")) fail(")");
    advance();
    return inside;
  }

  NodePtr parse_bound(BoundOperator bound) {
    NodePtr node = make_node(Node::Kind::kBound);
    node->bound = bound;
    node->text = token_.text;
    advance();
    if (!is_at(Token::Kind::kNumber) && !is_at(Token::Kind::kString)) fail("a number or a quoted limit");
    node->operands.push_back(parse_operand());
    return node;
  }

  NodePtr parse_string() {
    NodePtr node = make_node(Node::Kind::kString);
    node->text = token_.text;
    advance();
    return node;
  }

  NodePtr parse_number() {
    NodePtr node = make_node(Node::Kind::kNumber);
    const std::string& text = token_.text;
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, node->number);
    if (error != std::errc() || end != last || std::abs(node->number) > kMaxNumber) {
      fail("a number of at most 9e15");
    }
    node->is_integer = text.find_first_of(".eE") == std::string::npos;
    node->text = text;
    advance();
    return node;
  }

  // Parses true, false, a type, or a reference to a definition.
  NodePtr parse_identifier() {
    NodePtr node = make_node(Node::Kind::kReference);
    node->text = token_.text;
    if (node->text == "true" || node->text == "false") {
      node->kind = Node::Kind::kBool;
      node->boolean = node->text == "true";
    } else if (const auto type = scalar_type(node->text)) {
      node->kind = Node::Kind::kType;
      node->type = *type;
    } else if (node->text[0] != '#') {
      fail("a value (strings must be quoted)");
    }
    advance();
    return node;
  }

  NodePtr parse_record() {
    NodePtr node = make_node(Node::Kind::kRecord);
    advance();
    parse_fields(*node, false);
    advance();
    return node;
  }

  NodePtr parse_list() {
    NodePtr node = make_node(Node::Kind::kList);
    advance();
    skip_line_ends();
    while (!is_at_punctuation("]")) {
      if (is_at_punctuation("...")) {
        advance();
        node->further_items = parse_disjunction();
      } else {
        path_.push_back(std::to_string(node->operands.size()));
        node->operands.push_back(parse_disjunction());
        path_.pop_back();
      }
      skip_line_ends();
      if (is_at_punctuation(",") && !node->further_items) skip_operator();
      else if (!is_at_punctuation("]")) fail("] or ,");
    }
    advance();
    return node;
  }

  Lexer lexer_;
  Token token_;
  std::size_t node_count_ = 0;
  unsigned depth_ = 0;  // of nested disjunctions; limited so that recursion cannot overflow the stack
  bool is_limit_exceeded_ = false;
  std::vector<std::string> path_;  // names of the fields and indices of the items around the current token
  std::vector<Problem> problems_;
};

}  // namespace

ParsedText parse(std::string_view text) {
  if (text.size() <= kMaxFileBytes) return Parser(text).parse();
  ParsedText refused;
  refused.root = std::make_unique<Node>();
  refused.problems.push_back(
      {{1, 1},
       "file",
       "wanted at most " + std::to_string(kMaxFileBytes) + " bytes, found " + std::to_string(text.size())});
  return refused;
}

const Field* find_field(const Node& record, std::string_view name) {
  for (const Field& field : record.fields) {
    if (field.name == name) return &field;
  }
  return nullptr;
}

}  // namespace ashbeam::records
