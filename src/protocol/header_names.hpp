// Header fields by what they mean, with their names on the wire. Names are compared without regard to case.
// Source: RFC 9110 and RFC 9112; the protocol's page on headers for those of its own.
#pragma once
#include <string>
#include <string_view>

namespace ashbeam::header {

// Of HTTP, framing messages.
inline constexpr std::string_view kConnection = "Connection";
inline constexpr std::string_view kContentLength = "Content-Length";
inline constexpr std::string_view kTransferEncoding = "Transfer-Encoding";

// Of requests.
inline constexpr std::string_view kRequestId = "X-Correlation-Id";
inline constexpr std::string_view kTenant = "X-Account";
inline constexpr std::string_view kTimeLeftMs = "X-Time-Left-Ms";  // until the client stops waiting
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view kSessionKey = "X-Session-Key";  // a sticky key, any text
inline constexpr std::string_view kFacts = "X-Facts";             // name=value pairs
inline constexpr std::string_view kPrincipal = "X-Caller";        // from the router to endpoints

// Of answers.
inline constexpr std::string_view kUnprocessed = "X-Unprocessed";  // the endpoint has not run the request
inline constexpr std::string_view kLoadReport = "X-Backend-Load";  // from endpoints
inline constexpr std::string_view kRefusalReason = "X-Refused";    // from the router

// A complete header line.
inline std::string field_line(std::string_view name, std::string_view value) {
  std::string text(name);
  text.append(": ").append(value).append("\r\n");
  return text;
}

}  // namespace ashbeam::header
