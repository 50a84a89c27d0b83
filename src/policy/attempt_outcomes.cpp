#include "policy/attempt_outcomes.hpp"

namespace ashbeam::policy {

bool endpoint_answered(AttemptResult result) {
  return result == AttemptResult::kOk || result == AttemptResult::kError ||
         result == AttemptResult::kRejected;
}

bool may_have_run(AttemptResult result) {
  switch (result) {
    case AttemptResult::kRejected:
    case AttemptResult::kConnectFailed:
    case AttemptResult::kCancelledBeforeSent:
    case AttemptResult::kLocalFailure:
      return false;
    default:
      return true;
  }
}

namespace {

// Returns whether the result says nothing about the endpoint's health or latency.
bool is_uninformative(AttemptResult result) {
  return result == AttemptResult::kRejected || result == AttemptResult::kCancelledBeforeSent ||
         result == AttemptResult::kLocalFailure;
}

// Returns whether the duration of the attempt is its latency, or a lower bound of it.
bool has_latency_evidence(AttemptResult result) {
  return result == AttemptResult::kOk || result == AttemptResult::kCancelled ||
         result == AttemptResult::kTimeout;
}

}  // namespace

void AttemptOutcomes::on_attempt_end(Request& request, const Attempt& attempt, AttemptResult result,
                                     Duration duration, Instant now) {
  Endpoint& endpoint = parts_.endpoints[attempt.endpoint];
  if (is_uninformative(result)) return;
  if (attempt.sent_at < endpoint.started_at || attempt.version != endpoint.version) return;
  update_connectivity(endpoint, result, now);
  if (result == AttemptResult::kError) return errors_.add_error(request, attempt);
  if (result != AttemptResult::kCancelled)
    parts_.monitor.add_outcome(attempt.endpoint, result == AttemptResult::kOk ? 0 : 1, now);
  if (result == AttemptResult::kOk) {
    add_evidence(endpoint, request.request_class, 0, now);
    endpoint.answers.total += 1;
    endpoint.last_success_at = now;
  }
  if (has_latency_evidence(result)) update_latency(endpoint, request, attempt, result, duration.ms(), now);
}

void AttemptOutcomes::on_request_end(Request& request, bool served, Instant now) {
  const auto error = errors_.settle(request, served);
  if (!error) return;
  parts_.monitor.add_outcome(error->endpoint, error->failure, now);
  Endpoint& endpoint = parts_.endpoints[error->endpoint];
  if (error->sent_at > endpoint.started_at)
    add_evidence(endpoint, request.request_class, error->failure, now);
}

void AttemptOutcomes::update_connectivity(Endpoint& endpoint, AttemptResult result, Instant now) {
  if (result == AttemptResult::kConnectFailed || result == AttemptResult::kReset)
    parts_.regression.on_external_fault(now);
  if (result == AttemptResult::kConnectFailed) parts_.slow_start.on_connect_failed(endpoint, now);
  else if (endpoint_answered(result)) parts_.slow_start.on_answer(endpoint);
}

void AttemptOutcomes::update_latency(Endpoint& endpoint, const Request& request, const Attempt& attempt,
                                     AttemptResult result, double latency_ms, Instant now) {
  const bool answered = result == AttemptResult::kOk;
  // An attempt without an answer says nothing about latency if it ended before its predicted latency or at an
  // ejected endpoint.
  if (!answered && (latency_ms < attempt.predicted_ms || endpoint.outlier.ejected)) return;
  const double normalized_ms = parts_.latency.normalized_ms(latency_ms, request.request_class, attempt.load,
                                                            parts_.slow_start.capacity(endpoint, now));
  parts_.latency.update_peers_estimate(endpoint, normalized_ms, now);
  const bool warm = parts_.slow_start.is_warm(endpoint, now);
  if (warm && endpoint.version <= parts_.release.version()) {
    parts_.regression.add_latency(parts_.release.evidence_role(endpoint.version), endpoint.machine_type,
                                  request.request_class, attempt.endpoint, latency_ms, now);
  }
  // An endpoint that has served no request since the attempt was sent is failing, not slow.
  if (!answered && endpoint.last_success_at <= attempt.sent_at) return;
  parts_.latency.update_endpoint_estimate(endpoint, normalized_ms, now);
  if (warm) parts_.latency.update_means(request.request_class, latency_ms, normalized_ms);
}

// Outcomes of an endpoint in slow start are no evidence on its release.
void AttemptOutcomes::add_evidence(Endpoint& endpoint, unsigned request_class, double failure, Instant now) {
  if (parts_.slow_start.is_warm(endpoint, now))
    parts_.regression.add_outcome(endpoint, request_class, failure);
}

}  // namespace ashbeam::policy
