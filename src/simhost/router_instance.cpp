#include "simhost/router_instance.hpp"

#include <exception>

#include "terms/router_settings_reader.hpp"

namespace ashbeam::simhost {

namespace {

constexpr double kUseClientDeadline = 0;  // as the time limit of an attempt: until the client's deadline

}  // namespace

template <class Call>
void RouterInstance::call_router(Instant now, Call&& call) {
  if (!router_) return;
  try {
    router_->set_time(now);
    call(*router_);
  } catch (const std::exception& error) {
    reply_.add_text(id_, ActionCode::kFault, error.what());
  }
}

EndpointIndex RouterInstance::find_or_add_index(WireAddress address) {
  const std::uint32_t known = indices_.find(address);
  if (known != IndexMap::kNone) return known;
  const auto index = static_cast<EndpointIndex>(addresses_.size());
  addresses_.push_back(address);
  indices_.put(address, index);
  return index;
}

// ---- Events ----

void RouterInstance::handle(const StartEvent& event, Instant now) {
  const RouterSettings settings = read_router_settings(SettingsMap(event.settings));
  addresses_.clear();
  indices_ = IndexMap();
  router_ = make_router_policy(settings, event.seed, *this);
  call_router(now, [](RouterPolicy& router) { router.start(); });
}

void RouterInstance::update_endpoints(bool complete, std::span<const std::uint8_t> rows, Instant now) {
  call_router(now, [&](RouterPolicy& router) {
    router.begin_endpoint_update(complete);
    Reader reader(rows);
    while (!reader.is_at_end()) {
      ListRow row = read_list_row(reader);
      row.update.endpoint = find_or_add_index(row.address);
      router.update_endpoint(row.update);
    }
    router.end_endpoint_update();
  });
}

void RouterInstance::handle(EndpointWatchFailedEvent, Instant now) {
  call_router(now,
              [](RouterPolicy& router) { router.on_endpoint_watch_failed(EndpointWatchFailure::kOther); });
}

void RouterInstance::handle(const RequestEvent& event, Instant now) {
  call_router(now, [&](RouterPolicy& router) { router.on_request(event.arrival); });
}

void RouterInstance::handle(const AttemptEndEvent& event, Instant now) {
  if (!is_known(event.address)) return;
  AttemptEnd end = event.end;
  end.endpoint = find_or_add_index(event.address);
  call_router(now, [&](RouterPolicy& router) { router.on_attempt_end(end); });
}

void RouterInstance::handle(ClientDisconnectEvent event, Instant now) {
  call_router(now, [&](RouterPolicy& router) { router.on_client_disconnect(event.request); });
}

void RouterInstance::handle(WakeupEvent event, Instant now) {
  call_router(now, [&](RouterPolicy& router) { router.on_wakeup(event.token); });
}

void RouterInstance::handle(const ReleaseStateEvent& event, Instant now) {
  call_router(now, [&](RouterPolicy& router) { router.on_release_state(event.state); });
}

void RouterInstance::handle(VoteRefusedEvent event, Instant now) {
  call_router(now, [&](RouterPolicy& router) { router.on_vote_refused(event.outcome); });
}

void RouterInstance::handle(const OutcomeSampleEvent& event, Instant now) {
  call_router(now, [&](RouterPolicy& router) { router.on_outcome_sample(event.sample); });
}

void RouterInstance::handle(const DisputedAnswerEvent& event, Instant now) {
  if (!is_known(event.address)) return;
  const DisputedAnswer disputed{find_or_add_index(event.address), event.since_sent};
  call_router(now, [&](RouterPolicy& router) { router.on_disputed_answer(disputed); });
}

// ---- Actions ----

void RouterInstance::send_attempt(RequestId request, EndpointIndex endpoint) {
  Writer& record = begin_action(ActionCode::kSendAttempt);
  record.u32(request);
  record.address(addresses_[endpoint]);
  record.f64(kUseClientDeadline);
}

void RouterInstance::reject(RequestId request, Duration retry_after) {
  Writer& record = begin_action(ActionCode::kReject);
  record.u32(request);
  record.f64(retry_after.ms());
}

void RouterInstance::fail(RequestId request) { begin_action(ActionCode::kFail).u32(request); }

void RouterInstance::cancel_attempt(RequestId request, unsigned attempt) {
  Writer& record = begin_action(ActionCode::kCancelAttempt);
  record.u32(request);
  record.u8(static_cast<std::uint8_t>(attempt));
}

void RouterInstance::schedule_wakeup(Duration delay, std::uint64_t token) {
  Writer& record = begin_action(ActionCode::kScheduleWakeup);
  record.f64(delay.ms());
  record.u64(token);
}

void RouterInstance::watch_endpoints() { begin_action(ActionCode::kWatchEndpoints).u8(1); }

void RouterInstance::cast_vote(ReleaseVersion version, unsigned stage, Vote vote) {
  Writer& record = begin_action(ActionCode::kCastVote);
  record.u16(static_cast<std::uint16_t>(version));
  record.u8(static_cast<std::uint8_t>(stage));
  record.u8(static_cast<std::uint8_t>(vote_code(vote)));
}

void RouterInstance::log(std::string_view line) { reply_.add_text(id_, ActionCode::kLog, line); }

}  // namespace ashbeam::simhost
