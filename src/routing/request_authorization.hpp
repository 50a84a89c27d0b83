// Who sends a request, and may they: asks the authorizer, and answers 401, 403 or 429 where it refuses.
//
// Order of calls: enable() before the first request, or never; then, for a request, identify(), admit() if it
// is known who sends it, and release() once with the token when the request is over. Units: instants of the
// event loop. Errors: answered to the client here; refusals are logged, one line for all of a second. Source:
// RFC 6750, section 3 (Bearer challenges); RFC 9110, section 10.2.3 (Retry-After).
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

  // `forward_token`: the client's token goes on to the endpoint.
  void enable(std::unique_ptr<calling::Authorizer> authorizer, bool forward_token);
  bool is_enabled() const { return authorizer_ != nullptr; }
  bool forwards_token() const { return forward_token_; }
  calling::Authorizer* authorizer() { return authorizer_.get(); }

  // Who sends the request; nobody in particular where authorization is not enabled. Valid until the next
  // call. Null where the request has been answered with a refusal.
  const calling::Identity* identify(ClientConnection& client, const http::Head& head, Instant now);
  // False where the request has been answered with a refusal.
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
  calling::Identity identity_;  // of the request at hand; a member, so that its memory is used again
  std::array<std::uint64_t, kReasonCount> logged_refusals_{};
  Timer log_timer_;
};

}  // namespace ashbeam
