// The rules that every attempt and every rejection must satisfy, whatever the other components decide. They
// are checked last, immediately before an attempt is sent or a request is rejected:
//
// 1. No attempt is sent for a request that has its final answer or whose deadline has passed.
// 2. No request takes effect twice. An unsafe request that may have been executed is neither sent again nor
//    rejected. A keyed request is sent again only within its idempotency scope and retention.
// 3. No new attempt goes to an endpoint that is draining or removed. When the lease of the endpoint list has
//    expired, none goes to an endpoint that may be draining without this router's knowledge: by the protocol,
//    a drain counts as notified some time after it begins, whether or not the notification has arrived.
// 4. An endpoint in slow start is not overloaded.
// 5. The canary receives no more requests than the exposure cap allows.
//
// Performs no I/O and reports no errors.
#pragma once
#include "policy/endpoint_table.hpp"
#include "policy/exposure_cap.hpp"
#include "policy/release_tracker.hpp"
#include "policy/request.hpp"
#include "policy/router_policy.hpp"
#include "policy/slow_start.hpp"
#include "policy/sticky_keys.hpp"

namespace ashbeam::policy {

class RuleGuards {
 public:
  // All arguments must outlive this object.
  RuleGuards(const RouterSettings& settings, EndpointTable& endpoints, const ReleaseTracker& release,
             ExposureCap& exposure, const SlowStart& slow_start, const StickyKeys& sticky_keys);

  void set_list_validity(const EndpointListValidity& validity) { list_validity_ = validity; }
  // Returns whether the lease of the list permits attempts to all of its ready endpoints.
  bool is_list_valid(Instant now) const { return now < list_validity_.valid_until; }

  // Returns whether endpoints have to accept requests again and again to remain usable.
  bool are_answers_needed(Instant now) const { return now >= list_validity_.answers_needed_from; }

  // Returns whether the request's next attempt may go to this endpoint now. `traffic_weight` is the fraction
  // of the exposure cap that this router uses, see ExposureCap::allows().
  bool may_send(const Request& request, EndpointIndex index, double traffic_weight, Instant now);
  // Returns whether the request may be rejected. A rejection tells the client that sending the request again
  // is harmless.
  bool may_reject(const Request& request) const;
  // Returns the maximum number of attempts of a request.
  unsigned max_attempts() const { return max_attempts_; }

 private:
  // Returns whether the previous attempts of the request permit another one at this endpoint.
  bool previous_attempts_allow(const Request& request, EndpointIndex index, Instant now) const;
  // Returns whether `next` recognizes the idempotency keys that `previous` has received.
  bool is_same_scope(IdempotencyScope scope, const Endpoint& previous, const Endpoint& next) const;

  const RouterSettings& settings_;
  EndpointTable& endpoints_;
  const ReleaseTracker& release_;
  ExposureCap& exposure_;
  const SlowStart& slow_start_;
  const StickyKeys& sticky_keys_;
  unsigned max_attempts_;
  EndpointListValidity list_validity_;
};

}  // namespace ashbeam::policy
