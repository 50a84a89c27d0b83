// Names of HTTP header fields, as they stand on the wire. Compared without regard to case.
#pragma once
#include <string_view>

namespace ashbeam::http::header {

// RFC 9110 and RFC 9112.
constexpr std::string_view kAuthorization = "Authorization";
constexpr std::string_view kConnection = "Connection";
constexpr std::string_view kContentEncoding = "Content-Encoding";
constexpr std::string_view kContentLength = "Content-Length";
constexpr std::string_view kHost = "Host";
constexpr std::string_view kRetryAfter = "Retry-After";
constexpr std::string_view kTransferEncoding = "Transfer-Encoding";

// The protocol's own, of requests.
constexpr std::string_view kAccount = "X-Account";
constexpr std::string_view kCorrelationId = "X-Correlation-Id";
constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
constexpr std::string_view kSessionKey = "X-Session-Key";
constexpr std::string_view kTimeLeftMs = "X-Time-Left-Ms";

// The protocol's own, of answers.
constexpr std::string_view kRefused = "X-Refused";
constexpr std::string_view kUnprocessed = "X-Unprocessed";

}  // namespace ashbeam::http::header
