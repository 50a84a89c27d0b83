#include "routing/release_messages.hpp"

#include <algorithm>

namespace ashbeam {

namespace {

constexpr double kMaxVersion = 65535;
constexpr double kMaxStage = 255;
constexpr double kMaxSampleCount = 4e9;

std::optional<ReleasePhase> release_phase_of(std::string_view word) {
  if (word == "trial") return ReleasePhase::kCanary;
  if (word == "rolling_back") return ReleasePhase::kRollingBack;
  if (word == "released") return ReleasePhase::kReleased;
  if (word == "withdrawn") return ReleasePhase::kWithdrawn;
  return std::nullopt;
}

const char* word_of(Vote vote) {
  switch (vote) {
    case Vote::kPromote:
      return "promote";
    case Vote::kPause:
      return "pause";
    case Vote::kAbort:
      return "abort";
    case Vote::kAbstain:
      break;
  }
  return "abstain";
}

std::optional<unsigned> request_class_of(const Json& message, const std::vector<std::string>& names) {
  const auto found = std::find(names.begin(), names.end(), message.text("type"));
  if (found == names.end()) return std::nullopt;
  return static_cast<unsigned>(found - names.begin());
}

// Returns how long ago the event of the message happened.
Duration age_of(const Json& message) { return Duration::ms(std::max(0.0, message.number("lag_ms", 0))); }

}  // namespace

ReleaseNotification release_notification_of(std::string_view method) {
  if (method == "ROLLOUT") return ReleaseNotification::kReleaseState;
  if (method == "SAMPLE") return ReleaseNotification::kOutcomeSample;
  if (method == "DISPUTE") return ReleaseNotification::kDisputedAnswer;
  return ReleaseNotification::kUnknown;
}

std::optional<ReleaseState> decode_release_state(const Json& message) {
  const auto phase = release_phase_of(message.text("progress"));
  const double version = message.number("image", -1);
  const double stage = message.number("ring", -1);
  const double exposure_cap = message.number("ceiling", -1);
  if (!phase) return std::nullopt;
  if (version < 0 || version > kMaxVersion) return std::nullopt;
  if (stage < 0 || stage > kMaxStage) return std::nullopt;
  if (exposure_cap < 0) return std::nullopt;
  ReleaseState state;
  state.version = static_cast<ReleaseVersion>(version);
  state.stage = static_cast<unsigned>(stage);
  state.phase = *phase;
  state.exposure_cap = exposure_cap;
  state.time_in_stage = age_of(message);
  return state;
}

std::optional<OutcomeSample> decode_outcome_sample(const Json& message,
                                                   const std::vector<std::string>& request_classes) {
  const auto request_class = request_class_of(message, request_classes);
  const double version = message.number("image", 0);
  const double count = message.number("n", -1);
  const double failed = message.number("bad", -1);
  if (!request_class) return std::nullopt;
  if (version < 0 || version >= kMaxVersion + 1) return std::nullopt;
  if (failed < 0 || count < failed || count >= kMaxSampleCount) return std::nullopt;
  OutcomeSample sample;
  sample.version = static_cast<ReleaseVersion>(version);
  sample.request_class = *request_class;
  sample.count = static_cast<std::uint32_t>(count);
  sample.failed = static_cast<std::uint32_t>(failed);
  return sample;
}

std::optional<DisputeMessage> decode_dispute(const Json& message,
                                             const std::vector<std::string>& request_classes) {
  if (!request_class_of(message, request_classes)) return std::nullopt;
  return DisputeMessage{message.text("host"), age_of(message)};
}

std::string encode_vote(ReleaseVersion version, unsigned stage, Vote vote) {
  std::string params = "{\"image\":" + std::to_string(version);
  params += ",\"ring\":" + std::to_string(stage);
  params += ",\"opinion\":\"" + std::string(word_of(vote)) + "\"}";
  return params;
}

VoteOutcome vote_outcome_of(std::string_view message) {
  if (message == "Throttling") return VoteOutcome::kThrottled;
  if (message == "ConditionFailed") return VoteOutcome::kConditionFailed;
  if (message == "InternalFailure" || message == "ValidationError") return VoteOutcome::kFailed;
  return VoteOutcome::kUnknown;
}

}  // namespace ashbeam
