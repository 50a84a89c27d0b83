// Decodes the messages of the release platform, and encodes votes. No other module knows the platform's
// methods, member names and words.
//
// The functions are pure and do no I/O. They return std::nullopt for a message that cannot be used. Source:
// the protocol's release pages; calls as in JSON-RPC 2.0.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/router_policy.hpp"
#include "protocol/json.hpp"

namespace ashbeam {

inline constexpr const char* kSubscribeMethod = "subscribe";
inline constexpr const char* kVoteMethod = "release.vote";
inline constexpr const char* kPingMethod = "ping";

// The kinds of notification that the platform sends without a call.
enum class ReleaseNotification : std::uint8_t {
  kReleaseState,
  kOutcomeSample,
  kDisputedAnswer,
  kUnknown,
};
ReleaseNotification release_notification_of(std::string_view method);

// The report of a client that an answer was wrong.
struct DisputeMessage {
  std::string endpoint;  // its uid in the endpoint list
  Duration since_sent;   // since the attempt was sent
};

std::optional<ReleaseState> decode_release_state(const Json& message);
// `request_classes` holds the names of the request classes in the order of the settings, here and below.
std::optional<OutcomeSample> decode_outcome_sample(const Json& message,
                                                   const std::vector<std::string>& request_classes);
std::optional<DisputeMessage> decode_dispute(const Json& message,
                                             const std::vector<std::string>& request_classes);

// Returns the parameters of a call of kVoteMethod, as JSON.
std::string encode_vote(ReleaseVersion version, unsigned stage, Vote vote);
// Returns the outcome of a vote that was answered with an error. `message` is the text of the error.
VoteOutcome vote_outcome_of(std::string_view message);

}  // namespace ashbeam
