// The rules that hold whatever else is decided. Everything that is sent or rejected passes here last.
//
// Rules: (1) nothing is sent for a request that has its final answer, or past its deadline; (2) a request has
// no effect twice: no further attempt and no rejection of an unsafe one that may have run, and keyed ones
// stay within their scope and retention; (3) nothing new goes to an endpoint that is draining or
// removed, nor, once the list's lease is over, to one that may be draining without our knowing; (4) an
// endpoint that warms up is not pushed over; (5) the canary gets no more than the exposure cap. Units:
// instants. No I/O. Errors: none.
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
  // All arguments have to outlive this object.
  RuleGuards(const RouterSettings& settings, EndpointTable& endpoints, const ReleaseTracker& release,
             ExposureCap& exposure, const SlowStart& slow_start, const StickyKeys& sticky_keys);

  void set_list_validity(const EndpointListValidity& validity) { list_validity_ = validity; }
  // May attempts go to any endpoint of the list, by the list's lease alone?
  bool is_list_valid(Instant now) const { return now < list_validity_.valid_until; }

  // May the request's next attempt go to this endpoint now? `traffic_weight`: see ExposureCap::allows().
  bool may_send(const Request& request, EndpointIndex index, double traffic_weight, Instant now);
  // A rejection promises that trying again is harmless.
  bool may_reject(const Request& request) const;
  // Attempts that a request may have at the most.
  unsigned max_attempts() const { return max_attempts_; }

 private:
  bool list_validity_allows(const Endpoint& endpoint, Instant now) const;
  bool previous_attempts_allow(const Request& request, EndpointIndex index, Instant now) const;
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
