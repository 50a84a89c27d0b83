// Basic types of the policy: ids and indexes, and enumerations for endpoints, attempts, releases and votes.
#pragma once
#include <cstdint>

namespace ashbeam {

// Assigned by the caller of RouterPolicy. It is unique among the requests that are in flight.
using RequestId = std::uint32_t;
// Assigned by the owner of the endpoint list. Indexes are small, because they index a vector.
using EndpointIndex = std::uint32_t;
// A newer release has a higher version.
using ReleaseVersion = std::uint32_t;

// States how often a request may be executed (RFC 9110, section 9.2.2, defines idempotent methods).
enum class Idempotency : std::uint8_t {
  kIdempotent,  // May be executed any number of times.
  kKeyed,       // Endpoints drop repeats with the same idempotency key, within the scope and retention.
  kUnsafe,      // May be executed at most once.
};

// The set of endpoints that recognize a repeat of a keyed request: all of them, those in the zone of the
// endpoint that received it first, or those in the same zone and cell.
enum class IdempotencyScope : std::uint8_t { kAll, kZone, kCell };

enum class EndpointState : std::uint8_t { kRemoved, kReady, kDraining };

// How an attempt ended.
enum class AttemptResult : std::uint8_t {
  kOk,
  kError,
  kRejected,             // The endpoint refused the request and has not executed it.
  kTimeout,              // The endpoint may have executed the request, or may still execute it.
  kConnectFailed,        // The request was not sent.
  kReset,                // The endpoint may have executed the request.
  kCancelled,            // Cancelled by this router. The endpoint may have executed the request.
  kCancelledBeforeSent,  // Cancelled by this router before the request was sent.
  kLocalFailure,         // This machine could not open a connection. Says nothing about the endpoint.
};

enum class ReleasePhase : std::uint8_t { kCanary, kRollingBack, kReleased, kWithdrawn };

// A router's vote on the stage of a release.
enum class Vote : std::uint8_t { kAbstain, kPromote, kPause, kAbort };

// How the release platform answered a vote.
enum class VoteOutcome : std::uint8_t {
  kAccepted,
  kConditionFailed,  // The release is no longer in the stage that was voted on.
  kThrottled,        // The platform currently accepts no more calls.
  kFailed,
  kUnknown,  // There was no answer. The platform may have accepted the vote.
};

}  // namespace ashbeam
