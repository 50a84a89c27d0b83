// The release platform's messages, decoded to typed values and encoded from them. The only place that knows
// the platform's methods, JSON keys and words.
//
// Pure functions without I/O. Errors: std::nullopt where a message can't be used. Source: the protocol's
// release pages; calls as in JSON-RPC 2.0.
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

// What the platform tells without having been asked.
enum class ReleaseNotification : std::uint8_t {
  kReleaseState,
  kOutcomeSample,
  kDisputedAnswer,
  kUnknown,
};
ReleaseNotification release_notification_of(std::string_view method);

// A client found an answer wrong; the endpoint by its name in the endpoint list.
struct DisputeMessage {
  std::string endpoint;
  Duration since_sent;
};

std::optional<ReleaseState> decode_release_state(const Json& message);
// `request_classes`: names, in the order of the settings.
std::optional<OutcomeSample> decode_outcome_sample(const Json& message,
                                                   const std::vector<std::string>& request_classes);
std::optional<DisputeMessage> decode_dispute(const Json& message,
                                             const std::vector<std::string>& request_classes);

// The parameters of a call of kVoteMethod.
std::string encode_vote(ReleaseVersion version, unsigned stage, Vote vote);
// What the error of a vote's answer means; `message` is the error's text.
VoteOutcome vote_outcome_of(std::string_view message);

}  // namespace ashbeam
