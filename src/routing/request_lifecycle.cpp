#include "routing/request_lifecycle.hpp"

#include <algorithm>
#include <utility>

#include "protocol/header_names.hpp"
#include "routing/attempt_result.hpp"
#include "routing/header_forwarding.hpp"
#include "routing/retry_after.hpp"

namespace ashbeam {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

// The stored request, and the copy that is written to an endpoint.
constexpr std::size_t kCopiesOfRequest = 2;

constexpr unsigned kOkStatus = 200;
constexpr unsigned kNotFoundStatus = 404;
constexpr unsigned kBadGatewayStatus = 502;
constexpr unsigned kUnavailableStatus = 503;
constexpr unsigned kGatewayTimeoutStatus = 504;

std::string refusal_reason_line(const MetadataRequest& metadata) {
  return header::field_line(header::kRefusalReason, metadata.refusal);
}

}  // namespace

RequestLifecycle::RequestLifecycle(RouterContext& context, EndpointPools& pools, EndpointRegistry& registry,
                                   EndpointListLease& lease, RequestAuthorization& authorization,
                                   MetadataCheck& metadata, RecentRequestIds& recent_ids)
    : context_(context), pools_(pools), registry_(registry), lease_(lease), authorization_(authorization),
      metadata_(metadata), recent_ids_(recent_ids), local_failures_(context),
      budget_(context.limits.max_accepted_request_bytes) {}

// ---- Acceptance ----

bool RequestLifecycle::has_room_for(std::size_t request_bytes) const {
  return request_bytes <= context_.limits.max_small_request_bytes ||
         budget_.has_room_for(kCopiesOfRequest * request_bytes);
}

RequestId RequestLifecycle::accept(ClientConnection& client, AcceptedRequest accepted) {
  const RequestId id = requests_.allocate();
  Request& request = requests_[id];
  ++request_count_;
  request.accepted = std::move(accepted);
  request.in_use = true;
  const std::size_t size = request.accepted.head.capacity() + request.accepted.body.capacity();
  request.reserved_bytes = size > context_.limits.max_small_request_bytes ? kCopiesOfRequest * size : 0;
  budget_.reserve(request.reserved_bytes);
  request.client = &client;
  client.request_id = id;
  client.set_answer_deadline(request.accepted.deadline + context_.limits.overdue_answer_delay);
  return id;
}

// ---- Attempts ----

void RequestLifecycle::send_attempt(RequestId id, EndpointIndex endpoint) {
  Request& request = requests_[id];
  const Instant now = context_.loop.now();
  const Instant deadline = request.accepted.deadline;
  const auto attempt = static_cast<unsigned>(request.attempts.size());
  log_attempt_begin(id, attempt, endpoint, deadline - now);
  request.attempts.push_back({endpoint, now, {}});
  ++request.attempts_in_flight;
  registry_.on_attempt_started(endpoint);
  const auto build_request = [this, id](Instant attempt_deadline) {
    return build_attempt_request(id, attempt_deadline);
  };
  const auto on_end = [this, id, attempt](const AttemptResponse& response) {
    on_attempt_end(id, attempt, response);
  };
  if (has_client_left(id))
    return context_.loop.post([on_end] { on_end({AttemptResult::kCancelledBeforeSent}); });
  request.attempts.back().handle = pools_.send(endpoint, build_request, deadline, on_end);
}

// The time left is computed when the connection is open, which may be long after the routing policy has
// decided on the attempt.
std::optional<std::string> RequestLifecycle::build_attempt_request(RequestId id, Instant deadline) {
  if (has_client_left(id)) return std::nullopt;
  requests_[id].may_have_run = true;
  const AcceptedRequest& request = requests_[id].accepted;
  const std::int64_t left_ms = std::max<std::int64_t>(0, (deadline - context_.loop.now()).us() / 1000);
  const std::string time_left = header::field_line(header::kTimeLeftMs, std::to_string(left_ms));
  std::string bytes;
  bytes.reserve(request.head.size() + time_left.size() + kLineEnd.size() + request.body.size());
  bytes.append(request.head).append(time_left).append(kLineEnd).append(request.body);
  return bytes;
}

// The event loop may report the close only after the event that it handles now, and after an attempt that
// this event begins. So the socket itself is checked. The close is handled after the current callback,
// because the routing policy may be in the middle of a decision.
bool RequestLifecycle::has_client_left(RequestId id) {
  ClientConnection* const client = requests_[id].client;
  if (client && !client->has_client_left()) return false;
  context_.loop.post([this, id] { release_if_client_left(id); });
  return true;
}

// The id may have been assigned to another request since, so the socket is checked again.
void RequestLifecycle::release_if_client_left(RequestId id) {
  ClientConnection* const client = requests_[id].client;
  if (client && client->has_client_left()) on_client_closed(*client);
}

void RequestLifecycle::log_attempt_begin(RequestId id, unsigned attempt, EndpointIndex endpoint,
                                         Duration time_left) {
  if (!context_.detail_log.is_enabled(LogTopic::kRequests)) return;
  context_.detail_log.write_line(
      LogTopic::kRequests, context_.loop.now(),
      "request %u: attempt %u to endpoint %u at %s, release %.0f, timeout %.0f ms, endpoint list lease %s",
      id, attempt, endpoint, registry_.address(endpoint).c_str(), registry_.version(endpoint), time_left.ms(),
      policy::name_of(lease_.state()));
}

void RequestLifecycle::cancel_attempt(RequestId id, unsigned attempt) {
  Request& request = requests_[id];
  if (attempt >= request.attempts.size()) return;
  pools_.cancel(request.attempts[attempt].handle);
}

void RequestLifecycle::on_attempt_end(RequestId id, unsigned attempt, const AttemptResponse& response) {
  Request& request = requests_[id];
  const EndpointIndex endpoint = request.attempts[attempt].endpoint;
  const Instant sent_at = request.attempts[attempt].sent_at;
  const Duration duration = context_.loop.now() - sent_at;
  --request.attempts_in_flight;
  registry_.on_attempt_ended(endpoint);
  if (response.result == AttemptResult::kLocalFailure) local_failures_.on_failure();
  if (response.result == AttemptResult::kOk)
    lease_.on_endpoint_answered(endpoint, sent_at, response.connected_at);
  context_.detail_log.write_line(LogTopic::kRequests, context_.loop.now(),
                                 "request %u: attempt %u to endpoint %u ended: %s, after %.1f ms", id,
                                 attempt, endpoint, name_of(response.result), duration.ms());
  const CheckedAnswer checked = check_metadata(request, endpoint, response);
  const bool ok = checked.result == AttemptResult::kOk;
  const bool answered_client = ok && answer_client(id, checked.status, *response.answer);
  const std::uint64_t sticky_key = request.accepted.sticky_key;
  if (ok && sticky_key != 0)
    cancel_unsent_attempts_to_older_versions(sticky_key, registry_.version(endpoint));
  context_.policy.at_now().on_attempt_end({id, attempt, endpoint, checked.result, duration, answered_client});
  release_if_complete(id);
}

RequestLifecycle::CheckedAnswer RequestLifecycle::check_metadata(Request& request, EndpointIndex endpoint,
                                                                 const AttemptResponse& response) {
  MetadataRequest* const metadata = request.accepted.metadata.get();
  if (!metadata || !response.answer) return {response.result, kOkStatus};
  if (metadata->is_end_of_root_chain(response.result, *response.answer))
    return {AttemptResult::kOk, kNotFoundStatus};
  const bool ok = response.result == AttemptResult::kOk;
  if (ok && !metadata_.accepts(*metadata, *response.answer, registry_.address(endpoint)))
    return {AttemptResult::kError, kOkStatus};
  return {response.result, kOkStatus};
}

bool RequestLifecycle::answer_client(RequestId id, unsigned status, const http::MessageParser& answer) {
  ClientConnection* const client = take_client(id);
  if (!client) return false;
  std::string fields = forwarded_lines(answer.head());
  if (answer.is_body_close_delimited())
    fields += "Content-Length: " + std::to_string(answer.raw_body().size()) + "\r\n";
  client->answer(status, fields, answer.raw_body());
  return true;
}

// The requests of a sticky key must not go back to an older release version. An attempt to an older version
// that still waits for its connection when a newer version answers would arrive after that answer. So it is
// cancelled; it cannot have run, and the routing policy decides on the request anew.
void RequestLifecycle::cancel_unsent_attempts_to_older_versions(std::uint64_t sticky_key, double version) {
  for (RequestId id = 0; id < requests_.slot_count(); ++id) {
    Request& request = requests_[id];
    if (!request.in_use || request.accepted.sticky_key != sticky_key) continue;
    for (const Attempt& attempt : request.attempts) {
      if (registry_.version(attempt.endpoint) < version) pools_.cancel_if_unsent(attempt.handle);
    }
  }
}

// ---- Final answers ----

void RequestLifecycle::reject(RequestId id, Duration retry_after) {
  const std::string fields = retry_after > Duration() ? retry_after_line(retry_after) : std::string();
  const MetadataRequest* const metadata = requests_[id].accepted.metadata.get();
  // If every endpoint's file was refused, that is no lack of capacity, so the status is 502 instead of 503.
  if (metadata && !metadata->refusal.empty())
    return answer_without_attempt(id, kBadGatewayStatus, fields + refusal_reason_line(*metadata));
  answer_without_attempt(id, kUnavailableStatus, fields);
}

void RequestLifecycle::fail(RequestId id) {
  const MetadataRequest* const metadata = requests_[id].accepted.metadata.get();
  const bool refused = metadata && !metadata->refusal.empty();
  answer_without_attempt(id, kBadGatewayStatus, refused ? refusal_reason_line(*metadata) : std::string());
}

// The request is released after the current callback has returned, because the routing policy may still refer
// to it in that callback.
void RequestLifecycle::answer_without_attempt(RequestId id, unsigned status, std::string_view fields) {
  context_.detail_log.write_line(
      LogTopic::kRequests, context_.loop.now(),
      "request %u: answered with status %u without an endpoint's answer, endpoint list lease %s", id, status,
      policy::name_of(lease_.state()));
  if (ClientConnection* const client = take_client(id)) client->answer_plain(status, fields);
  context_.loop.post([this, id] { release_if_complete(id); });
}

ClientConnection* RequestLifecycle::take_client(RequestId id) {
  ClientConnection* const client = std::exchange(requests_[id].client, nullptr);
  if (client) client->request_id.reset();
  return client;
}

// ---- Ends that the routing policy has not decided ----

void RequestLifecycle::on_client_closed(ClientConnection& client) {
  abandon(client, "client closed the connection before the answer");
}

void RequestLifecycle::on_surplus_input(ClientConnection& client) {
  abandon(client, "client sent more than the request before the answer");
}

void RequestLifecycle::abandon(ClientConnection& client, const char* reason) {
  if (!client.request_id) return;
  const RequestId id = *client.request_id;
  context_.detail_log.write_line(LogTopic::kRequests, context_.loop.now(), "request %u: %s", id, reason);
  take_client(id);
  notify_client_gone(id);
}

void RequestLifecycle::on_answer_deadline(ClientConnection& client) {
  if (client.request_id) fail_overdue(*client.request_id);
}

void RequestLifecycle::fail_all_unanswered() {
  for (RequestId id = 0; id < requests_.slot_count(); ++id) {
    if (requests_[id].in_use && requests_[id].client) fail_overdue(id);
  }
}

// Called when the answer deadline has passed, or at the end of a graceful shutdown.
void RequestLifecycle::fail_overdue(RequestId id) {
  context_.log("request " + std::to_string(id) + ": not answered in time, answering with status " +
               std::to_string(kGatewayTimeoutStatus));
  if (ClientConnection* const client = take_client(id)) client->answer_plain(kGatewayTimeoutStatus);
  notify_client_gone(id);
}

void RequestLifecycle::notify_client_gone(RequestId id) {
  context_.policy.at_now().on_client_disconnect(id);
  release_if_complete(id);
}

void RequestLifecycle::release_if_complete(RequestId id) {
  Request& request = requests_[id];
  if (!request.in_use || request.client || request.attempts_in_flight > 0) return;
  --request_count_;
  authorization_.release(request.accepted.admission);
  budget_.release(request.reserved_bytes);
  recent_ids_.end(request.accepted.id, request.may_have_run, context_.loop.now());
  request = Request{};
  requests_.deallocate(id);
}

}  // namespace ashbeam
