// What a request's head says to the router: its class, its time limit, its id and its sticky key.
//
// Pure functions without I/O. Errors: a RequestError, the answer to a request that can't be accepted. Source:
// the protocol's page on requests.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.hpp"
#include "policy/types.hpp"
#include "protocol/http.hpp"

namespace ashbeam {

// A request class as requests name it.
struct RequestClassRule {
  std::string name;  // the first part of the path
  Idempotency idempotency = Idempotency::kUnsafe;
};

struct RequestParameters {
  unsigned request_class = 0;  // index in the rules
  Duration time_left;          // until the client stops waiting
};

struct RequestError {
  unsigned status = 0;                             // 400, 404 or 405
  std::optional<std::string_view> allowed_method;  // with 405
};

// The path without its query.
std::string_view path_of(const http::Head& head);

std::variant<RequestParameters, RequestError> parse_request(const http::MessageParser& request,
                                                            const std::vector<RequestClassRule>& rules,
                                                            std::size_t max_request_id_bytes);

// The sticky key, 0 where the request has none. Session keys are any text, and count only with
// `sticky_sessions`; they are hashed.
std::uint64_t sticky_key_of(const http::Head& head, bool sticky_sessions);

}  // namespace ashbeam
