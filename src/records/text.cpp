#include "records/text.hpp"

#include <charconv>
#include <cmath>

namespace ashbeam::records {

namespace {

struct Token {
  enum class Kind { kEnd, kLine, kWord, kString, kNumber, kSign, kBad };
  Kind kind = Kind::kEnd;
  std::string text;
  Place at;
};

bool word_start(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == '#'; }
// RFC 3629, but for surrogates and overlong forms of four bytes, which nobody here compares.
bool utf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto c = static_cast<unsigned char>(text[i++]);
    const int more = c < 0x80                ? 0
                     : c >= 0xc2 && c < 0xe0 ? 1
                     : c >= 0xe0 && c < 0xf0 ? 2
                     : c >= 0xf0 && c < 0xf5 ? 3
                                             : -1;
    if (more < 0) return false;
    for (int k = 0; k < more; ++k, ++i) {
      if (i >= text.size() || (static_cast<unsigned char>(text[i]) & 0xC0U) != 0x80U) return false;
    }
  }
  return true;
}
bool digit(char c) { return c >= '0' && c <= '9'; }

class Reader {
 public:
  explicit Reader(std::string_view text) : text_(text) { step(); }

  Text read() {
    Text all;
    all.root = make(Node::Kind::kRecord);
    fields(*all.root, true);
    all.problems = std::move(problems_);
    return all;
  }

 private:
  struct Stop {};  // leaves the field at hand

  // ---- Tokens ----

  char look(std::size_t ahead = 0) const {
    return from_ + ahead < text_.size() ? text_[from_ + ahead] : '\0';
  }
  char next() {
    const char c = text_[from_++];
    if (c == '\n') ++place_.line, place_.column = 1;
    else if ((static_cast<unsigned char>(c) & 0xC0U) != 0x80U) ++place_.column;  // UTF-8: characters
    return c;
  }

  void step() {
    for (;;) {
      while (look() == ' ' || look() == '\t' || look() == '\r') next();
      if (look() != '/' || look(1) != '/') break;
      while (from_ < text_.size() && look() != '\n') next();
    }
    token_ = Token{};
    token_.at = place_;
    if (from_ >= text_.size()) return;
    const char c = look();
    if (c == '\n') {
      token_.kind = Token::Kind::kLine;
      next();
    } else if (c == '"') {
      string();
    } else if (word_start(c)) {
      token_.kind = Token::Kind::kWord;
      do token_.text += next();
      while (word_start(look()) || digit(look()));
    } else if (digit(c) || (c == '-' && digit(look(1)))) {
      token_.kind = Token::Kind::kNumber;
      do token_.text += next();
      while (digit(look()) || word_start(look()) || look() == '.' ||
             ((look() == '-' || look() == '+') && (token_.text.back() == 'e' || token_.text.back() == 'E')));
    } else {
      token_.kind = Token::Kind::kSign;
      token_.text = next();
      const std::string two = token_.text + look();
      if (two == ">=" || two == "<=" || two == "!=" || two == "=~") token_.text += next();
      if (token_.text == "." && look() == '.' && look(1) == '.') token_.text = "...", next(), next();
    }
  }

  void string() {
    token_.kind = Token::Kind::kString;
    next();
    while (look() != '"') {
      if (from_ >= text_.size() || look() == '\n') return bad("a string that ends on its line");
      char c = next();
      if (static_cast<unsigned char>(c) < ' ') return bad("no control characters in a string");
      if (c == '\\') {
        const char escape = look();
        if (escape == 'n') c = '\n';
        else if (escape == 't') c = '\t';
        else if (escape == '"' || escape == '\\') c = escape;
        else return bad("one of \\n \\t \\\" \\\\");
        next();
      }
      token_.text += c;
      if (token_.text.size() > kLongestString) return bad("a string of at most 4096 bytes");
    }
    next();
    if (!utf8(token_.text)) bad("a string in UTF-8");
  }

  void bad(const std::string& wanted) {
    token_.kind = Token::Kind::kBad;
    token_.text = wanted;
  }

  static std::string shown(const Token& t) {
    switch (t.kind) {
      case Token::Kind::kEnd:
        return "the file's end";
      case Token::Kind::kLine:
        return "the line's end";
      case Token::Kind::kString:
        return quoted(t.text);
      default:
        return t.text.substr(0, 40);
    }
  }

  // ---- The tree ----

  NodePtr make(Node::Kind kind) {
    if (++nodes_ > kMostNodes) wrong("at most " + std::to_string(kMostNodes) + " values", "more"), over();
    auto node = std::make_unique<Node>();
    node->kind = kind;
    node->at = token_.at;
    return node;
  }

  void wrong(const std::string& wanted, const std::string& found) {
    if (problems_.size() < kMostProblems && !over_)
      problems_.push_back({token_.at, path(), "wanted " + wanted + ", found " + found});
    else over();
  }
  [[noreturn]] void fail(const std::string& wanted) {
    if (token_.kind == Token::Kind::kBad) wrong(token_.text, "something else");
    else wrong(wanted, shown(token_));
    throw Stop{};
  }
  void over() {
    over_ = true;
    from_ = text_.size();
    token_ = Token{};
  }
  std::string path() const {
    std::string all;
    for (const auto& part : path_) all.append(all.empty() ? "" : ".").append(part);
    return all.empty() ? "file" : all;
  }

  bool is(const char* sign) const { return token_.kind == Token::Kind::kSign && token_.text == sign; }
  void lines() {
    while (token_.kind == Token::Kind::kLine) step();
  }

  void fields(Node& record, bool top) {
    for (;;) {
      while (token_.kind == Token::Kind::kLine || is(",")) step();
      if (token_.kind == Token::Kind::kEnd) {
        if (!top) fail("}");
        return;
      }
      if (!top && is("}")) return;
      const unsigned depth = depth_;
      const std::size_t at = path_.size();
      try {
        field(record);
      } catch (Stop) {
        depth_ = depth;
        path_.resize(at);
        skip();
      }
    }
  }

  // To the line's end, and out of what was opened on the way.
  void skip() {
    unsigned open = 0;
    while (token_.kind != Token::Kind::kEnd) {
      if (open == 0 && (token_.kind == Token::Kind::kLine || is("}"))) return;
      if (is("{") || is("[")) ++open;
      if ((is("}") || is("]")) && open > 0) --open;
      step();
    }
  }

  void field(Node& record) {
    if (token_.kind != Token::Kind::kWord && token_.kind != Token::Kind::kString) fail("a field's name");
    Field f;
    f.name = token_.text;
    f.at = token_.at;
    path_.push_back(f.name);
    for (const Field& other : record.fields) {
      if (other.name == f.name) {
        wrong("each field once",
              "a second " + f.name + " (first on line " + std::to_string(other.at.line) + ")");
        throw Stop{};
      }
    }
    step();
    if (is("?")) f.optional = true, step();
    if (!is(":")) fail(":");
    step();
    lines();
    f.value = one_of();
    if (token_.kind != Token::Kind::kLine && token_.kind != Token::Kind::kEnd && !is(",") && !is("}"))
      fail("the line's end or ,");
    path_.pop_back();
    record.fields.push_back(std::move(f));
  }

  NodePtr one_of() {
    // Guards against nesting that would take the stack.
    if (++depth_ > kDeepest) fail("at most " + std::to_string(kDeepest) + " levels");
    auto all = make(Node::Kind::kOneOf);
    do {
      if (!all->parts.empty()) step(), lines();
      if (is("*")) {
        if (all->preferred >= 0) fail("one default");
        all->preferred = static_cast<int>(all->parts.size());
        step();
      }
      all->parts.push_back(every());
    } while (is("|"));
    --depth_;
    if (all->parts.size() == 1 && all->preferred < 0) return std::move(all->parts[0]);
    return all;
  }

  NodePtr every() {
    auto all = make(Node::Kind::kAll);
    do {
      if (!all->parts.empty()) step(), lines();
      all->parts.push_back(atom());
    } while (is("&"));
    return all->parts.size() == 1 ? std::move(all->parts[0]) : std::move(all);
  }

  NodePtr atom() {
    if (is("(")) {
      step();
      auto inside = one_of();
      if (!is(")")) fail(")");
      step();
      return inside;
    }
    if (is("{")) return record();
    if (is("[")) return list();
    if (is(">=") || is("<=") || is(">") || is("<") || is("!=")) {
      auto bound = make(Node::Kind::kBound);
      bound->text = token_.text;
      step();
      if (token_.kind != Token::Kind::kNumber && token_.kind != Token::Kind::kString) fail("a figure");
      bound->parts.push_back(atom());
      return bound;
    }
    if (token_.kind == Token::Kind::kString) {
      auto string = make(Node::Kind::kString);
      string->text = token_.text;
      step();
      return string;
    }
    if (token_.kind == Token::Kind::kNumber) return number();
    if (token_.kind != Token::Kind::kWord) fail("a value");
    auto word = make(Node::Kind::kName);
    word->text = token_.text;
    if (word->text == "true" || word->text == "false") {
      word->kind = Node::Kind::kBool;
      word->truth = word->text == "true";
    } else if (word->text == "string" || word->text == "int" || word->text == "number" ||
               word->text == "bool" || word->text == "span") {
      word->kind = Node::Kind::kType;
    } else if (word->text[0] != '#') {
      fail("a value (strings stand in quotes)");
    }
    step();
    return word;
  }

  NodePtr number() {
    auto node = make(Node::Kind::kNumber);
    const std::string& text = token_.text;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), node->number);
    if (error != std::errc() || end != text.data() + text.size() || std::abs(node->number) > 9e15)
      fail("a number up to 9e15");
    node->whole = text.find_first_of(".eE") == std::string::npos;
    node->text = text;
    step();
    return node;
  }

  NodePtr record() {
    auto node = make(Node::Kind::kRecord);
    step();
    fields(*node, false);
    step();
    return node;
  }

  NodePtr list() {
    auto node = make(Node::Kind::kList);
    step();
    lines();
    while (!is("]")) {
      if (is("...")) {
        step();
        node->rest = one_of();
      } else {
        path_.push_back(std::to_string(node->parts.size()));
        node->parts.push_back(one_of());
        path_.pop_back();
      }
      lines();
      if (is(",") && !node->rest) step(), lines();
      else if (!is("]")) fail("] or ,");
    }
    step();
    return node;
  }

  std::string_view text_;
  std::size_t from_ = 0, nodes_ = 0;
  Place place_{1, 1};
  Token token_;
  unsigned depth_ = 0;
  bool over_ = false;
  std::vector<std::string> path_;
  std::vector<Problem> problems_;
};

}  // namespace

std::string quoted(std::string_view plain) {
  std::string all = "\"";
  for (const char c : plain.substr(0, 60)) {
    if (c == '"' || c == '\\') all += '\\';
    if (static_cast<unsigned char>(c) < ' ') all += c == '\n' ? "\\n" : "\\t";
    else all += c;
  }
  return all + (plain.size() > 60 ? "...\"" : "\"");
}

Text read(std::string_view text) {
  if (text.size() > kLongestFile) {
    Text none;
    none.root = std::make_unique<Node>();
    none.problems.push_back(
        {{1, 1},
         "file",
         "wanted at most " + std::to_string(kLongestFile) + " bytes, found " + std::to_string(text.size())});
    return none;
  }
  return Reader(text).read();
}

}  // namespace ashbeam::records
