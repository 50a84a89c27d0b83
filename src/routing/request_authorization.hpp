// Authenticates and authorizes the sender of a request with the authorizer. A request that is refused is
// answered here with 401, 403 or 429.
//
// Call enable() before the first request, or never. Then, for each request, call identify(); if that
// succeeds, admit(); and if that succeeds, release() once with the quota hold when the request has ended.
// Refusals are logged, with one line for all refusals of a second. Times are instants of the event loop.
// Source: RFC 6750, section 3 (Bearer challenges); RFC 9110, section 10.2.3 (Retry-After).
#pragma once
#include <array>
#include <cstdint>
#include <memory>

#include "calling/authorizer.hpp"
#include "protocol/http.hpp"
#include "routing/client_connection.hpp"
#include "routing/router_context.hpp"

namespace ashbeam {

class RequestAuthorization {
 public:
  explicit RequestAuthorization(RouterContext& context);

  // From now on requests are authorized. `forward_token` says whether the client's token is forwarded to the
  // endpoint.
  void enable(std::unique_ptr<calling::Authorizer> authorizer, bool forward_token);
  bool is_enabled() const { return authorizer_ != nullptr; }
  bool forwards_token() const { return forward_token_; }
  // Returns null if authorization is not enabled.
  calling::Authorizer* authorizer() { return authorizer_.get(); }

  // Returns the identity of the sender, which is anonymous if authorization is not enabled. It is valid until
  // the next call. Returns null if the request was refused and has been answered.
  const calling::Identity* identify(ClientConnection& client, const http::Head& head, Instant now);
  // Checks the sender's rights and quotas. Returns false if the request was refused and has been answered.
  // Otherwise `hold` is to be passed to release().
  bool admit(ClientConnection& client, const calling::Identity& identity, unsigned request_class,
             calling::QuotaHold& hold);
  void release(const calling::QuotaHold& hold);

 private:
  static constexpr auto kReasonCount = calling::kRefusalCount;

  void refuse(ClientConnection& client, calling::Refusal reason, Duration retry_after);
  void log_refusals();

  RouterContext& context_;
  std::unique_ptr<calling::Authorizer> authorizer_;
  bool forward_token_ = false;
  calling::Identity identity_;  // of the current request; a member so that its memory is reused
  std::array<std::uint64_t, kReasonCount> logged_refusals_{};
  Timer log_timer_;
};

}  // namespace ashbeam
