#include "routing/request_parser.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "protocol/header_names.hpp"

namespace ashbeam {

namespace {

constexpr double kMaxNumericKey = 1.8e19;  // below 2^64

// Fields that routing decisions depend on. A request that has one of them twice is rejected, because an
// endpoint might read the other line.
constexpr std::string_view kSingletonFields[] = {header::kHost,           header::kRequestId,
                                                 header::kTenant,         header::kTimeLeftMs,
                                                 header::kIdempotencyKey, header::kSessionKey};

bool has_required_fields(const http::Head& head, Idempotency idempotency, std::size_t max_id_bytes) {
  for (const std::string_view name : kSingletonFields) {
    if (head.count(name) > 1) return false;
  }
  if (!http::is_visible_ascii(head.find(header::kHost).value_or(""))) return false;
  const std::string_view id = head.find(header::kRequestId).value_or("");
  if (id.empty() || id.size() > max_id_bytes || !http::is_visible_ascii(id)) return false;
  if (!head.find(header::kTimeLeftMs)) return false;
  // Only requests of keyed classes have a key.
  const auto key = head.find(header::kIdempotencyKey);
  if (idempotency != Idempotency::kKeyed) return !key;
  return key && !key->empty();
}

std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsed_to != end) return std::nullopt;
  return value;
}

// Calls `callback` with the name and the value of each name=value item of a comma-separated list whose value
// is a number.
template <class Callback>
void for_each_numeric_item(std::string_view list, Callback&& callback) {
  http::for_each_list_element(list, [&](std::string_view item) {
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) return;
    if (const auto value = parse_number(item.substr(equals + 1))) callback(item.substr(0, equals), *value);
  });
}

}  // namespace

std::string_view path_of(const http::Head& head) {
  const std::string_view target = head.target();
  return target.substr(0, target.find('?'));
}

std::variant<RequestParameters, RequestError> parse_request(const http::MessageParser& request,
                                                            const std::vector<RequestClassRule>& rules,
                                                            const Limits& limits) {
  const http::Head& head = request.head();
  const std::string_view path = path_of(head).substr(1);
  const std::string_view class_name = path.substr(0, path.find('/'));
  const auto rule = std::find_if(rules.begin(), rules.end(),
                                 [&](const RequestClassRule& one) { return one.name == class_name; });
  if (rule == rules.end()) return RequestError{404, {}};
  const bool idempotent = rule->idempotency == Idempotency::kIdempotent;
  const std::string_view method = idempotent ? "GET" : "POST";
  if (head.method() != method) return RequestError{405, method};
  if (!has_required_fields(head, rule->idempotency, limits.max_request_id_bytes))
    return RequestError{400, {}};
  const auto time_left_ms = http::parse_decimal(*head.find(header::kTimeLeftMs));
  if (!time_left_ms) return RequestError{400, {}};
  // An endpoint might read the body of a GET request as the next request.
  if (idempotent && !request.raw_body().empty()) return RequestError{400, {}};
  RequestParameters parameters;
  parameters.request_class = static_cast<unsigned>(rule - rules.begin());
  parameters.time_left =
      Duration::ms(std::min(static_cast<double>(*time_left_ms), limits.max_time_left.ms()));
  return parameters;
}

std::uint64_t sticky_key_of(const http::Head& head, bool sticky_sessions) {
  std::uint64_t key = 0;
  const auto session = sticky_sessions ? head.find(header::kSessionKey) : std::nullopt;
  // The routing policy only compares keys. The lowest bit is set because 0 means that there is no key.
  if (session && !session->empty()) key = XXH3_64bits(session->data(), session->size()) | 1U;
  if (const auto facts = head.find(header::kFacts)) {
    for_each_numeric_item(*facts, [&](std::string_view name, double value) {
      if (name == "targetKey" && value >= 1 && value < kMaxNumericKey)
        key = static_cast<std::uint64_t>(value);
    });
  }
  return key;
}

}  // namespace ashbeam
