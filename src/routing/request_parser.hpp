// Reads the parameters of a request from its head: its class, its time limit and its sticky key. Rejects
// requests whose form is not accepted.
//
// The functions are pure and do no I/O. A request that cannot be accepted results in a RequestError, which
// says how to answer it. Source: the protocol's page on requests.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/limits.hpp"
#include "base/time.hpp"
#include "policy/types.hpp"
#include "protocol/http.hpp"

namespace ashbeam {

// The rules for the requests of one class.
struct RequestClassRule {
  std::string name;  // the first segment of the path of its requests
  Idempotency idempotency = Idempotency::kUnsafe;
};

struct RequestParameters {
  unsigned request_class = 0;  // index in the list of rules
  Duration time_left;          // until the client stops waiting
};

struct RequestError {
  unsigned status = 0;                             // to answer with: 400, 404 or 405
  std::optional<std::string_view> allowed_method;  // set if `status` is 405
};

// Returns the path of the request target, without its query.
std::string_view path_of(const http::Head& head);

// Checks a complete request. The path selects its class in `rules`, and the class decides which method and
// fields it must have. The time left is at most Limits::max_time_left.
std::variant<RequestParameters, RequestError> parse_request(const http::MessageParser& request,
                                                            const std::vector<RequestClassRule>& rules,
                                                            const Limits& limits);

// Returns the sticky key of a request, or 0 if it has none. A session key is any text, which is hashed; it is
// ignored unless `sticky_sessions` is set.
std::uint64_t sticky_key_of(const http::Head& head, bool sticky_sessions);

}  // namespace ashbeam
