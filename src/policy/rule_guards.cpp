#include "policy/rule_guards.hpp"

#include <algorithm>

namespace ashbeam::policy {

namespace {

// A retry may go to the same endpoint again only if no more endpoints than this are ready.
constexpr std::size_t kMaxReadyToRetrySameEndpoint = 2;

}  // namespace

RuleGuards::RuleGuards(const RouterSettings& settings, EndpointTable& endpoints,
                       const ReleaseTracker& release, ExposureCap& exposure, const SlowStart& slow_start,
                       const StickyKeys& sticky_keys)
    : settings_(settings), endpoints_(endpoints), release_(release), exposure_(exposure),
      slow_start_(slow_start), sticky_keys_(sticky_keys),
      max_attempts_(std::min<unsigned>(settings.max_attempts, Request::kMaxAttempts)) {}

bool RuleGuards::may_send(const Request& request, EndpointIndex index, double traffic_weight, Instant now) {
  Endpoint& endpoint = endpoints_[index];
  if (request.answered || endpoint.state != EndpointState::kReady) return false;
  if (now >= request.deadline || request.attempt_count >= max_attempts_) return false;
  if (!list_validity_.allows(now, endpoint.last_accepted)) return false;
  if (request.attempt_count > 0 && !previous_attempts_allow(request, index, now)) return false;
  if (!sticky_keys_.allows(request, endpoint.version, release_)) return false;
  if (release_.is_capped(endpoint.version) &&
      !exposure_.allows(request, endpoint.version, release_, traffic_weight, now))
    return false;
  return slow_start_.allows(endpoint, now);
}

bool RuleGuards::may_reject(const Request& request) const {
  const RequestClass& request_class = settings_.request_classes[request.request_class];
  if (request_class.idempotency == Idempotency::kIdempotent || !request.may_have_run()) return true;
  return request_class.idempotency == Idempotency::kKeyed && request_class.scope == IdempotencyScope::kAll;
}

bool RuleGuards::previous_attempts_allow(const Request& request, EndpointIndex index, Instant now) const {
  const RequestClass& request_class = settings_.request_classes[request.request_class];
  for (unsigned i = 0; i < request.attempt_count; ++i) {
    const Attempt& previous = request.attempts[i];
    if (previous.endpoint == index &&
        (previous.in_flight || endpoints_.ready() > kMaxReadyToRetrySameEndpoint))
      return false;
    if (!previous.in_flight && !previous.may_have_run) continue;
    if (request_class.idempotency == Idempotency::kUnsafe) return false;
    if (request_class.idempotency == Idempotency::kIdempotent) continue;
    if (now - previous.sent_at >= request_class.key_retention - settings_.clock_tolerance) return false;
    if (!is_same_scope(request_class.scope, endpoints_[previous.endpoint], endpoints_[index])) return false;
  }
  return true;
}

bool RuleGuards::is_same_scope(IdempotencyScope scope, const Endpoint& previous, const Endpoint& next) const {
  switch (scope) {
    case IdempotencyScope::kAll:
      return true;
    case IdempotencyScope::kZone:
      return previous.zone == next.zone;
    case IdempotencyScope::kCell:
      return previous.zone == next.zone && previous.cell == next.cell;
  }
  return false;
}

}  // namespace ashbeam::policy
