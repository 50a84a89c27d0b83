// Numeric codes of the simulator's binary protocol. Only src/simhost/ knows these codes; the enumerators are
// named after the terms of the RouterPolicy and RouterActions interfaces to which they are mapped.
#pragma once
#include <cstddef>
#include <cstdint>

namespace ashbeam::simhost {

// Codes of event records, from the simulator to this program.
enum class EventCode : std::uint8_t {
  kStart = 1,
  kEndpointList,
  kRequest,
  kAttemptConnected,
  kAttemptEnd,
  kClientDisconnect,
  kWakeup,
  kLoadReport,
  kGossip,  // a message from another router; read and ignored
  kHalt,
  kReleaseState,
  kOutcomeSample,
  kDisputedAnswer,
  kListBuffer,
  kSelectRouter
};
constexpr EventCode kLastEventCode = EventCode::kSelectRouter;

// Codes of action records, from this program to the simulator. The numbers that are left out belong to
// actions that this router does not use.
enum class ActionCode : std::uint8_t {
  kSendAttempt = 1,
  kReject = 2,
  kFail = 3,
  kCancelAttempt = 4,
  kScheduleWakeup = 5,
  kLog = 9,
  kFault = 10,
  kWatchEndpoints = 11,
  kCastVote = 13,
  kActingRouter = 14  // names the router whose actions follow
};

// The result of an attempt. For a vote, some of the codes have another meaning.
enum class ResultCode : std::uint16_t {
  kOk = 200,
  kTimeout = 408,
  kCancelledBeforeSent = 409,  // of a vote: its condition failed
  kRejected = 429,             // of a vote: throttled by the release platform
  kCancelled = 444,
  kError = 502,
  kReset = 520,
  kConnectFailed = 521,
};

// What an endpoint list record contains. The other modes up to kLastListMode stand for a complete list.
enum class ListMode : std::uint8_t { kChanges = 0, kWatchFailed = 3 };
constexpr ListMode kLastListMode = ListMode::kWatchFailed;

// An endpoint's state in a row of an endpoint list. Every other code means that the endpoint is removed.
enum class EndpointStateCode : std::uint8_t { kReady = 1, kDraining = 2 };

enum class ReleasePhaseCode : std::uint8_t { kCanary, kRollingBack, kReleased, kWithdrawn };

enum class VoteCode : std::uint8_t { kAbstain, kPromote, kPause, kAbort };

constexpr std::size_t kListRowBytes = 27;         // size of one row of an endpoint list
constexpr std::size_t kListBuffers = 16;          // number of buffers that hold the rows of endpoint lists
constexpr std::size_t kMaxLogLineBytes = 60'000;  // longer texts in actions are cut off

}  // namespace ashbeam::simhost
