#include "routing/release_subscription.hpp"

#include <utility>

#include "routing/release_messages.hpp"

namespace ashbeam {

namespace {

constexpr std::size_t kMaxLoggedMessageBytes = 200;

std::string truncated_text(const Json& message) {
  return std::string(message.raw().substr(0, kMaxLoggedMessageBytes));
}

}  // namespace

ReleaseSubscription::ReleaseSubscription(RouterContext& context, const EndpointRegistry& registry,
                                         std::vector<std::string> request_classes, std::string address,
                                         std::uint64_t seed)
    : context_(context), registry_(registry), request_classes_(std::move(request_classes)),
      address_(std::move(address)), seed_(seed) {}

void ReleaseSubscription::apply_configured_state(const std::string& state) {
  if (const auto message = Json::parse(state)) on_release_state(*message);
}

void ReleaseSubscription::open() {
  ReleaseClient::Callbacks callbacks;
  callbacks.on_notification = [this](const std::string& method, const Json& message) {
    return on_notification(method, message);
  };
  callbacks.on_vote_outcome = [this](VoteOutcome outcome, const Json* state) {
    return on_vote_outcome(outcome, state);
  };
  callbacks.log = [this](const std::string& line) { context_.log("release platform: " + line); };
  client_ =
      std::make_unique<ReleaseClient>(context_.loop, context_.limits, address_, seed_, std::move(callbacks));
  client_->start();
}

void ReleaseSubscription::change_address(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  retired_clients_.push_back(std::move(client_));
  open();
  const ReleaseClient* const former = retired_clients_.back().get();
  retired_clients_.back()->retire([this, former] { on_retired(former); });
}

void ReleaseSubscription::on_retired(const ReleaseClient* client) {
  std::erase_if(retired_clients_, [&](const auto& one) { return one.get() == client; });
}

bool ReleaseSubscription::on_vote_outcome(VoteOutcome outcome, const Json* state) {
  if (outcome != VoteOutcome::kAccepted) {
    context_.policy.at_now().on_vote_refused(outcome);
    return true;
  }
  if (on_release_state(*state)) return true;
  context_.policy.at_now().on_vote_refused(VoteOutcome::kUnknown);
  return false;
}

bool ReleaseSubscription::on_release_state(const Json& message) {
  const auto state = decode_release_state(message);
  if (!state) {
    context_.log("release platform: ignored an invalid release state: " + truncated_text(message));
    return false;
  }
  context_.policy.at_now().on_release_state(*state);
  return true;
}

bool ReleaseSubscription::on_notification(const std::string& method, const Json& message) {
  const ReleaseNotification kind = release_notification_of(method);
  if (kind == ReleaseNotification::kReleaseState) return on_release_state(message);
  if (kind == ReleaseNotification::kOutcomeSample && apply_outcome_sample(message)) return true;
  if (kind == ReleaseNotification::kDisputedAnswer && apply_disputed_answer(message)) return true;
  context_.log("release platform: ignored a notification that is unknown or invalid: " + method + " " +
               truncated_text(message));
  return kind != ReleaseNotification::kUnknown || on_unknown_notification(method);
}

// An unknown method may have been corrupted in transit, so the connection is opened again, where the platform
// sends the current state once more. If the same method is received a second time, it was sent that way and
// is ignored.
bool ReleaseSubscription::on_unknown_notification(const std::string& method) {
  if (unknown_method_ == method) return true;
  unknown_method_ = method;
  return false;
}

bool ReleaseSubscription::apply_outcome_sample(const Json& message) {
  const auto sample = decode_outcome_sample(message, request_classes_);
  if (!sample) return false;
  context_.policy.at_now().on_outcome_sample(*sample);
  return true;
}

bool ReleaseSubscription::apply_disputed_answer(const Json& message) {
  const auto dispute = decode_dispute(message, request_classes_);
  if (!dispute) return false;
  const auto endpoint = registry_.find(dispute->endpoint);
  if (!endpoint) return false;
  context_.policy.at_now().on_disputed_answer({*endpoint, dispute->since_sent});
  return true;
}

}  // namespace ashbeam
