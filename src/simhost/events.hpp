// Decodes the simulator's event records into typed values. Each record is read in full, even if its event is
// ignored or its router does not run, because the next record begins where it ends.
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

// Starts a router.
struct StartEvent {
  std::uint64_t seed = 0;
  std::string_view settings;  // points into the batch; parsed by SettingsMap
};

// A complete endpoint list, or changes to the previous one.
struct EndpointListEvent {
  bool complete = false;
  std::size_t buffer = 0;  // index of the list buffer that holds the rows
};

// The watch of endpoints has failed.
struct EndpointWatchFailedEvent {};

// A request has arrived.
struct RequestEvent {
  RequestArrival arrival;
};

// An attempt has ended.
struct AttemptEndEvent {
  WireAddress address = 0;  // of the endpoint; `end.endpoint` is not set
  AttemptEnd end;
};

// The client of a request has disconnected.
struct ClientDisconnectEvent {
  RequestId request = 0;
};

// A wakeup that the router scheduled is due.
struct WakeupEvent {
  std::uint64_t token = 0;  // as given to schedule_wakeup
};

// Stops a router.
struct HaltEvent {};

// The release platform reports the state of the newest release.
struct ReleaseStateEvent {
  ReleaseState state;
};

// The release platform did not accept a vote of this router.
struct VoteRefusedEvent {
  VoteOutcome outcome = VoteOutcome::kFailed;
};

// The release platform reports outcomes that it counted over all routers.
struct OutcomeSampleEvent {
  OutcomeSample sample;
};

// A client found the answer of an endpoint wrong.
struct DisputedAnswerEvent {
  WireAddress address = 0;
  Duration since_sent;  // since the attempt was sent
};

// An event that affects no decision: an established connection, a load report, or a message from another
// router.
struct IgnoredEvent {};

using Event = std::variant<StartEvent, EndpointListEvent, EndpointWatchFailedEvent, RequestEvent,
                           AttemptEndEvent, ClientDisconnectEvent, WakeupEvent, HaltEvent, ReleaseStateEvent,
                           VoteRefusedEvent, OutcomeSampleEvent, DisputedAnswerEvent, IgnoredEvent>;

// Reads the code of the next record. Throws WireError if the code is unknown.
EventCode read_event_code(Reader& reader);
// Reads the fields of an event for one router. `code` may be any code except kListBuffer and kSelectRouter.
// Throws WireError if a field is malformed.
Event read_event(Reader& reader, EventCode code);

// Reads the index of a list buffer. Throws WireError if there is no such buffer.
std::size_t read_list_buffer(Reader& reader);

// One row of an endpoint list.
struct ListRow {
  WireAddress address = 0;
  EndpointUpdate update;  // `update.endpoint` is not set
};
// Reads one row, which takes kListRowBytes. Throws WireError if the bytes end before that.
ListRow read_list_row(Reader& reader);

}  // namespace ashbeam::simhost
