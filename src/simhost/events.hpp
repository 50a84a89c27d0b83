// The simulator's event records, decoded into typed values. A record is read in full whether or not somebody
// is left to take it.
#pragma once
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

#include "base/time.hpp"
#include "policy/router_policy.hpp"
#include "simhost/codes.hpp"
#include "simhost/wire.hpp"

namespace ashbeam::simhost {

struct StartEvent {
  std::uint64_t seed = 0;
  std::string_view settings;  // within the batch; see SettingsMap
};

struct EndpointListEvent {
  bool complete = false;
  std::size_t buffer = 0;  // of the rows
};

struct EndpointWatchFailedEvent {};

struct RequestEvent {
  RequestArrival arrival;
};

struct AttemptEndEvent {
  WireAddress address = 0;  // of the endpoint; `end.endpoint` is not set
  AttemptEnd end;
};

struct ClientDisconnectEvent {
  RequestId request = 0;
};

struct WakeupEvent {
  std::uint64_t token = 0;
};

struct HaltEvent {};

struct ReleaseStateEvent {
  ReleaseState state;
};

struct VoteRefusedEvent {
  VoteOutcome outcome = VoteOutcome::kFailed;
};

struct OutcomeSampleEvent {
  OutcomeSample sample;
};

struct DisputedAnswerEvent {
  WireAddress address = 0;
  Duration since_sent;
};

// Connections, load reports and gossip, by which nothing is decided.
struct IgnoredEvent {};

using Event = std::variant<StartEvent, EndpointListEvent, EndpointWatchFailedEvent, RequestEvent,
                           AttemptEndEvent, ClientDisconnectEvent, WakeupEvent, HaltEvent, ReleaseStateEvent,
                           VoteRefusedEvent, OutcomeSampleEvent, DisputedAnswerEvent, IgnoredEvent>;

// The next record's code. Throws WireError where there is no such event.
EventCode read_event_code(Reader& reader);
// An event for one router: any code but kListBuffer and kSelectRouter. Throws WireError.
Event read_event(Reader& reader, EventCode code);

// The position of a list buffer. Throws WireError where there is no such buffer.
std::size_t read_list_buffer(Reader& reader);

// One endpoint of a list; `update.endpoint` is not set.
struct ListRow {
  WireAddress address = 0;
  EndpointUpdate update;
};
ListRow read_list_row(Reader& reader);

}  // namespace ashbeam::simhost
