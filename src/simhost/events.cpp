#include "simhost/events.hpp"

#include <cmath>
#include <string>

namespace ashbeam::simhost {

namespace {

AttemptResult attempt_result(std::uint16_t result_code, const Reader& reader) {
  switch (static_cast<ResultCode>(result_code)) {
    case ResultCode::kOk:
      return AttemptResult::kOk;
    case ResultCode::kError:
      return AttemptResult::kError;
    case ResultCode::kRejected:
      return AttemptResult::kRejected;
    case ResultCode::kTimeout:
      return AttemptResult::kTimeout;
    case ResultCode::kConnectFailed:
      return AttemptResult::kConnectFailed;
    case ResultCode::kReset:
      return AttemptResult::kReset;
    case ResultCode::kCancelled:
      return AttemptResult::kCancelled;
    case ResultCode::kCancelledBeforeSent:
      return AttemptResult::kCancelledBeforeSent;
  }
  reader.fail("unknown result code " + std::to_string(result_code));
}

VoteOutcome vote_outcome(std::uint16_t result_code, const Reader& reader) {
  switch (static_cast<ResultCode>(result_code)) {
    case ResultCode::kOk:
      return VoteOutcome::kAccepted;
    case ResultCode::kCancelledBeforeSent:
      return VoteOutcome::kConditionFailed;
    case ResultCode::kRejected:
      return VoteOutcome::kThrottled;
    case ResultCode::kError:
      return VoteOutcome::kFailed;
    case ResultCode::kTimeout:
      return VoteOutcome::kUnknown;
    default:
      reader.fail("unknown vote result code " + std::to_string(result_code));
  }
}

ReleasePhase release_phase(std::uint8_t code, const Reader& reader) {
  switch (static_cast<ReleasePhaseCode>(code)) {
    case ReleasePhaseCode::kCanary:
      return ReleasePhase::kCanary;
    case ReleasePhaseCode::kRollingBack:
      return ReleasePhase::kRollingBack;
    case ReleasePhaseCode::kReleased:
      return ReleasePhase::kReleased;
    case ReleasePhaseCode::kWithdrawn:
      return ReleasePhase::kWithdrawn;
  }
  reader.fail("unknown release phase " + std::to_string(code));
}

EndpointState endpoint_state(std::uint8_t code) {
  switch (static_cast<EndpointStateCode>(code)) {
    case EndpointStateCode::kReady:
      return EndpointState::kReady;
    case EndpointStateCode::kDraining:
      return EndpointState::kDraining;
  }
  return EndpointState::kRemoved;
}

// Returns `buffer` if it is the index of a list buffer, and throws WireError otherwise.
std::size_t check_list_buffer(std::uint8_t buffer, const Reader& reader) {
  if (buffer >= kListBuffers)
    reader.fail("list buffer " + std::to_string(buffer) + " out of range (at most " +
                std::to_string(kListBuffers - 1) + ")");
  return buffer;
}

void skip_load_report(Reader& reader) {
  const std::uint8_t column_count = reader.u8();
  for (unsigned i = 0; i < column_count; ++i) reader.f32();
}

Event read_start(Reader& reader) {
  StartEvent event;
  event.seed = reader.u64();
  const auto text = reader.bytes(reader.u32());
  event.settings = {reinterpret_cast<const char*>(text.data()), text.size()};
  return event;
}

Event read_endpoint_list(Reader& reader) {
  const std::uint8_t mode = reader.u8();
  reader.u32();  // unused field
  const std::uint8_t buffer = reader.u8();
  if (mode > static_cast<std::uint8_t>(kLastListMode)) {
    reader.fail("unknown list mode " + std::to_string(mode));
  }
  if (static_cast<ListMode>(mode) == ListMode::kWatchFailed) return EndpointWatchFailedEvent{};
  return EndpointListEvent{static_cast<ListMode>(mode) != ListMode::kChanges,
                           check_list_buffer(buffer, reader)};
}

Event read_request(Reader& reader) {
  RequestEvent event;
  event.arrival.request = reader.u32();
  reader.u8();  // flags; say whether the work hint is given
  event.arrival.deadline = Instant::at_ms(reader.f64());
  reader.f64();  // work hint, in milliseconds
  event.arrival.tenant = reader.u16();
  event.arrival.sticky_key = reader.u64();
  event.arrival.request_class = reader.u8();
  return event;
}

Event read_attempt_connected(Reader& reader) {
  reader.u32();  // request
  reader.u8();   // attempt
  reader.address();
  reader.f64();  // unused field
  return IgnoredEvent{};
}

Event read_attempt_end(Reader& reader) {
  AttemptEndEvent event;
  event.end.request = reader.u32();
  event.end.attempt = reader.u8();
  event.address = reader.address();
  event.end.result = attempt_result(reader.u16(), reader);
  event.end.duration = Duration::ms(reader.f64());
  event.end.answered_client = reader.u8() != 0;
  skip_load_report(reader);
  return event;
}

Event read_load_report(Reader& reader) {
  reader.u16();  // result code
  reader.address();
  reader.f64();  // unused field
  skip_load_report(reader);
  return IgnoredEvent{};
}

Event read_gossip(Reader& reader) {
  reader.u32();  // sender
  reader.bytes(reader.u16());
  return IgnoredEvent{};
}

// Reads the state of the release. A record that answers a vote which was not accepted becomes a
// VoteRefusedEvent.
Event read_release_state(Reader& reader) {
  ReleaseStateEvent event;
  event.state.version = reader.u16();
  event.state.stage = reader.u8();
  const std::uint8_t phase = reader.u8();
  const bool answers_vote = reader.u8() != 0;
  const VoteOutcome outcome = vote_outcome(reader.u16(), reader);
  event.state.exposure_cap = static_cast<double>(reader.f32());
  event.state.time_in_stage = Duration::ms(reader.f64());
  event.state.phase = release_phase(phase, reader);
  if (answers_vote && outcome != VoteOutcome::kAccepted) return VoteRefusedEvent{outcome};
  return event;
}

Event read_outcome_sample(Reader& reader) {
  OutcomeSampleEvent event;
  reader.f64();  // mean latency, in milliseconds
  event.sample.version = reader.u16();
  event.sample.count = reader.u32();
  event.sample.failed = reader.u32();
  reader.f64();  // the sample's age, in milliseconds
  event.sample.request_class = reader.u8();
  return event;
}

Event read_disputed_answer(Reader& reader) {
  DisputedAnswerEvent event;
  event.address = reader.address();
  reader.u8();  // request class
  event.since_sent = Duration::ms(reader.f64());
  return event;
}

}  // namespace

EventCode read_event_code(Reader& reader) {
  const std::uint8_t code = reader.u8();
  if (code == 0 || code > static_cast<std::uint8_t>(kLastEventCode)) {
    reader.fail("unknown event code " + std::to_string(code));
  }
  return static_cast<EventCode>(code);
}

std::size_t read_list_buffer(Reader& reader) { return check_list_buffer(reader.u8(), reader); }

Event read_event(Reader& reader, EventCode code) {
  switch (code) {
    case EventCode::kStart:
      return read_start(reader);
    case EventCode::kEndpointList:
      return read_endpoint_list(reader);
    case EventCode::kRequest:
      return read_request(reader);
    case EventCode::kAttemptConnected:
      return read_attempt_connected(reader);
    case EventCode::kAttemptEnd:
      return read_attempt_end(reader);
    case EventCode::kClientDisconnect:
      return ClientDisconnectEvent{reader.u32()};
    case EventCode::kWakeup:
      return WakeupEvent{reader.u64()};
    case EventCode::kLoadReport:
      return read_load_report(reader);
    case EventCode::kGossip:
      return read_gossip(reader);
    case EventCode::kHalt:
      return HaltEvent{};
    case EventCode::kReleaseState:
      return read_release_state(reader);
    case EventCode::kOutcomeSample:
      return read_outcome_sample(reader);
    case EventCode::kDisputedAnswer:
      return read_disputed_answer(reader);
    case EventCode::kListBuffer:
    case EventCode::kSelectRouter:
      break;
  }
  reader.fail("unknown event code " + std::to_string(static_cast<unsigned>(code)));
}

ListRow read_list_row(Reader& reader) {
  ListRow row;
  row.address = reader.address();
  row.update.zone = reader.u8();
  row.update.version = static_cast<ReleaseVersion>(std::lround(reader.f32()));
  row.update.machine_type = reader.u8();
  row.update.cell = reader.u16();
  row.update.state = endpoint_state(reader.u8());
  reader.f32();  // capacity hint
  const double started_at_ms = reader.f64();
  row.update.started_at = started_at_ms > 0 ? Instant::at_ms(started_at_ms) : Instant();
  return row;
}

}  // namespace ashbeam::simhost
