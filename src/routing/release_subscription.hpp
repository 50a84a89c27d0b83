// Connects the routing policy to the release platform: it decodes the platform's notifications for the
// policy, and sends the policy's votes. It owns the connection to the platform, and each connection to a
// former address until the outcomes of its votes are known.
//
// Call start() once, and then cast_vote() and change_address() at any time. A message that cannot be used is
// logged and ignored. After a malformed one the connection is also opened again.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "routing/endpoint_registry.hpp"
#include "routing/release_client.hpp"
#include "routing/router_context.hpp"

namespace ashbeam {

class ReleaseSubscription {
 public:
  // `request_classes` holds the names of the request classes in the order of the settings. `seed` seeds the
  // jitter of the connection's backoff.
  ReleaseSubscription(RouterContext& context, const EndpointRegistry& registry,
                      std::vector<std::string> request_classes, std::string address, std::uint64_t seed);

  // Applies the release state of the configuration, which is JSON in the platform's form. Does nothing if
  // `state` is not JSON.
  void apply_configured_state(const std::string& state);
  void start() { open(); }
  void cast_vote(ReleaseVersion version, unsigned stage, Vote vote) { client_->vote(version, stage, vote); }
  // Changes the address of the platform. Does nothing if it is the same as before.
  void change_address(const std::string& address);

 private:
  void open();
  // These return false if the message is malformed, so that the connection has to be opened again.
  bool on_notification(const std::string& method, const Json& message);
  bool on_unknown_notification(const std::string& method);
  bool on_vote_outcome(VoteOutcome outcome, const Json* state);
  bool on_release_state(const Json& message);

  // These return false if the message cannot be used.
  bool apply_outcome_sample(const Json& message);
  bool apply_disputed_answer(const Json& message);
  void on_retired(const ReleaseClient* client);

  RouterContext& context_;
  const EndpointRegistry& registry_;
  std::vector<std::string> request_classes_;
  std::string address_;
  std::uint64_t seed_;
  std::unique_ptr<ReleaseClient> client_;
  std::vector<std::unique_ptr<ReleaseClient>> retired_clients_;
  std::string unknown_method_;  // of the last notification with an unknown method
};

}  // namespace ashbeam
