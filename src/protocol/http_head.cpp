#include "protocol/http_head.hpp"

#include <algorithm>

namespace ashbeam::http {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kMaxMethodBytes = 32;
constexpr std::size_t kMaxIdleHeadBytes = 2048;
constexpr std::size_t kMaxIdleFields = 32;

}  // namespace

// Within a field line, appends all bytes up to the next CR, LF or NUL at once; `append` checks those one by
// one. Returns the number of bytes appended.
std::size_t Head::append_plain_bytes(std::string_view bytes) {
  if (line_begin_ == 0 || raw_.back() == '\r') return 0;
  const std::string_view allowed = bytes.substr(0, max_bytes_ - std::min(max_bytes_, raw_.size()));
  std::size_t count = 0;
  while (count < allowed.size() && allowed[count] != '\r' && allowed[count] != '\n' && allowed[count] != '\0')
    ++count;
  raw_.append(allowed.substr(0, count));
  return count;
}

// Whether `next` may follow the bytes of the start line received so far. A request begins with its method, a
// response with the protocol's version. An empty line may precede a request.
bool Head::may_continue_start_line(char next) const {
  if (type_ == MessageType::kResponse)
    return raw_.size() >= kVersionPrefix.size() || next == kVersionPrefix[raw_.size()];
  if (raw_.find(' ') != std::string::npos) return true;
  if (raw_.size() >= kMaxMethodBytes) return false;
  if (is_token_char(next)) return true;
  return raw_.empty() ? next == '\r' : next == ' ' || raw_ == "\r";
}

ParseResult Head::append(char c) {
  if (raw_.size() >= max_bytes_) return ParseResult::kTooLong;
  const bool after_carriage_return = !raw_.empty() && raw_.back() == '\r';
  if ((c == '\n') != after_carriage_return || c == '\0') return ParseResult::kInvalid;
  if (line_begin_ == 0 && !may_continue_start_line(c)) return ParseResult::kInvalid;
  raw_.push_back(c);
  return c == '\n' ? end_line() : ParseResult::kIncomplete;
}

ParseResult Head::end_line() {
  const std::string_view line = std::string_view(raw_).substr(line_begin_);
  const bool is_empty_line = line == kLineEnd;
  if (is_empty_line && line_begin_ == 0) {  // before a start line: ignored (RFC 9112, section 2.2)
    raw_.clear();
    return ParseResult::kIncomplete;
  }
  if (is_empty_line) {
    split_lines();
    return ParseResult::kComplete;
  }
  if (line_begin_ > 0) {
    if (!is_field_line(line)) return ParseResult::kInvalid;
    if (++field_count_ > max_fields_) return ParseResult::kTooLong;
  }
  line_begin_ = raw_.size();
  return ParseResult::kIncomplete;
}

ParseResult Head::feed(std::string_view& bytes) {
  std::size_t used = 0;
  while (used < bytes.size()) {
    used += append_plain_bytes(bytes.substr(used));
    if (used == bytes.size()) break;
    const ParseResult result = append(bytes[used]);
    ++used;
    if (result == ParseResult::kComplete) bytes.remove_prefix(used);
    if (result != ParseResult::kIncomplete) return result;
  }
  bytes = {};
  return ParseResult::kIncomplete;
}

// Frees the memory of a large head: an idle connection must not keep it.
void Head::clear() {
  if (raw_.capacity() > kMaxIdleHeadBytes) std::string().swap(raw_);
  else raw_.clear();
  if (fields_.capacity() > kMaxIdleFields) std::vector<Field>().swap(fields_);
  else fields_.clear();
  field_count_ = 0;
  start_line_ = {};
  line_begin_ = 0;
}

void Head::split_lines() {
  split_start_line();
  std::string_view rest = std::string_view(raw_).substr(start_line_.size());
  fields_.reserve(field_count_);
  while (rest.size() > kLineEnd.size()) {
    Field field;
    field.line = rest.substr(0, rest.find(kLineEnd) + kLineEnd.size());
    rest.remove_prefix(field.line.size());
    const std::size_t colon = field.line.find(':');
    field.name = field.line.substr(0, colon);
    field.value = trimmed(field.line.substr(colon + 1, field.line.size() - colon - 1 - kLineEnd.size()));
    fields_.push_back(field);
  }
}

// Splits the start line at its first two spaces. The last part is the rest of the line, with any further
// spaces.
void Head::split_start_line() {
  start_line_ = std::string_view(raw_).substr(0, raw_.find(kLineEnd) + kLineEnd.size());
  std::string_view rest = start_line_.substr(0, start_line_.size() - kLineEnd.size());
  for (std::size_t i = 0; i < kStartLineParts; ++i) {
    const bool is_last = i + 1 == kStartLineParts;
    const std::size_t part_length = is_last ? rest.size() : std::min(rest.find(' '), rest.size());
    start_line_parts_[i] = rest.substr(0, part_length);
    rest.remove_prefix(std::min(part_length + 1, rest.size()));
  }
}

std::optional<std::string_view> Head::find(std::string_view name) const {
  for (const Field& field : fields_) {
    if (equals_ignoring_case(field.name, name)) return field.value;
  }
  return std::nullopt;
}

unsigned Head::count(std::string_view name) const {
  return static_cast<unsigned>(std::count_if(fields_.begin(), fields_.end(), [&](const Field& field) {
    return equals_ignoring_case(field.name, name);
  }));
}

bool Head::has_token(std::string_view name, std::string_view token) const {
  bool found = false;
  for (const Field& field : fields_) {
    if (!equals_ignoring_case(field.name, name)) continue;
    for_each_list_element(field.value, [&](std::string_view element) {
      found = found || equals_ignoring_case(element, token);
    });
  }
  return found;
}

}  // namespace ashbeam::http
