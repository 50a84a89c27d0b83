// The simulator's wire: the codes of its records. They stand in src/simhost/ alone; each names the term of
// the interface of the decisions that it is mapped to.
#pragma once
#include <cstddef>
#include <cstdint>

namespace ashbeam::simhost {

// Records that come in.
enum class EventCode : std::uint8_t {
  kStart = 1,
  kEndpointList,
  kRequest,
  kAttemptConnected,
  kAttemptEnd,
  kClientDisconnect,
  kWakeup,
  kLoadReport,
  kGossip,
  kHalt,
  kReleaseState,
  kOutcomeSample,
  kDisputedAnswer,
  kListBuffer,
  kSelectRouter
};
constexpr EventCode kLastEventCode = EventCode::kSelectRouter;

// Records that go out. The numbers between are of records that a router does not use.
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
  kActingRouter = 14
};

// What became of an attempt, or of a vote.
enum class ResultCode : std::uint16_t {
  kOk = 200,
  kTimeout = 408,
  kCancelledBeforeSent = 409,  // of a vote: its condition has failed
  kRejected = 429,             // of a vote: throttled
  kCancelled = 444,
  kError = 502,
  kReset = 520,
  kConnectFailed = 521,
};

// What an endpoint list holds; every other mode up to the last is a complete list.
enum class ListMode : std::uint8_t { kChanges = 0, kWatchFailed = 3 };
constexpr ListMode kLastListMode = ListMode::kWatchFailed;

// An endpoint's state in a row of a list; everything else is removed.
enum class EndpointStateCode : std::uint8_t { kReady = 1, kDraining = 2 };

enum class ReleasePhaseCode : std::uint8_t { kCanary, kRollingBack, kReleased, kWithdrawn };

enum class VoteCode : std::uint8_t { kAbstain, kPromote, kPause, kAbort };

constexpr std::size_t kListRowBytes = 27;
constexpr std::size_t kListBuffers = 16;
constexpr std::size_t kMaxLogLineBytes = 60'000;

}  // namespace ashbeam::simhost
