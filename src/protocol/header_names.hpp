// Names of the HTTP header fields that the router reads or writes. The constants are named after what a field
// means; their values are the names on the wire, which are compared without regard to case. The standard
// fields are those of RFC 9110 and RFC 9112. The X- fields are specific to the protocol between clients,
// routers and endpoints and are defined by the protocol's page on headers.
#pragma once
#include <string>
#include <string_view>

namespace ashbeam::header {

// Fields of HTTP/1.1 that control connections and delimit messages.
inline constexpr std::string_view kConnection = "Connection";
inline constexpr std::string_view kContentLength = "Content-Length";
inline constexpr std::string_view kTransferEncoding = "Transfer-Encoding";

// Fields of requests.
inline constexpr std::string_view kHost = "Host";
inline constexpr std::string_view kRequestId = "X-Correlation-Id";
inline constexpr std::string_view kTenant = "X-Account";
inline constexpr std::string_view kTimeLeftMs = "X-Time-Left-Ms";  // until the client's deadline
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view kSessionKey = "X-Session-Key";  // sticky key of a client session; any text
inline constexpr std::string_view kFacts = "X-Facts";             // name=value pairs about the request
inline constexpr std::string_view kPrincipal = "X-Caller";        // the principal, set by the router

// Fields of responses.
inline constexpr std::string_view kUnprocessed =
    "X-Unprocessed";  // "1": the endpoint did not run the request
inline constexpr std::string_view kLoadReport = "X-Backend-Load";  // set by endpoints
inline constexpr std::string_view kRefusalReason = "X-Refused";    // why the router refused the request

// Returns "name: value" with CR LF at its end.
inline std::string field_line(std::string_view name, std::string_view value) {
  std::string text(name);
  text.append(": ").append(value).append("\r\n");
  return text;
}

}  // namespace ashbeam::header
