// The plain values that decisions are made of: ids, and the states of endpoints, attempts, releases and
// votes.
#pragma once
#include <cstdint>

namespace ashbeam {

using RequestId = std::uint32_t;       // given out by the request's owner, unique while it is in flight
using EndpointIndex = std::uint32_t;   // small; given out by the owner of the endpoint list
using ReleaseVersion = std::uint32_t;  // a higher one is newer

// What a request's effect allows (RFC 9110, section 9.2.2).
enum class Idempotency : std::uint8_t {
  kIdempotent,  // may run any number of times
  kKeyed,       // repeats with its idempotency key are dropped within the scope and retention
  kUnsafe,      // may run once
};

// Which endpoints drop the repeats of a keyed request.
enum class IdempotencyScope : std::uint8_t { kAll, kZone, kCell };

enum class EndpointState : std::uint8_t { kRemoved, kReady, kDraining };

// What became of an attempt.
enum class AttemptResult : std::uint8_t {
  kOk,
  kError,
  kRejected,             // by the endpoint, which has not run it
  kTimeout,              // may have run, or may yet
  kConnectFailed,        // never sent
  kReset,                // may have run
  kCancelled,            // by us; may have run
  kCancelledBeforeSent,  // by us; has never run
  kLocalFailure,         // this machine could not connect; says nothing about the endpoint
};

enum class ReleasePhase : std::uint8_t { kCanary, kRollingBack, kReleased, kWithdrawn };

// A router's opinion on a release's stage.
enum class Vote : std::uint8_t { kAbstain, kPromote, kPause, kAbort };

// What became of a vote.
enum class VoteOutcome : std::uint8_t {
  kAccepted,
  kConditionFailed,  // the release had moved on
  kThrottled,        // the platform takes no more calls just now
  kFailed,
  kUnknown,  // no answer: it may stand
};

}  // namespace ashbeam
