// The release platform's notifications brought to the decisions as typed values, and the decisions' votes to
// the platform. Owns the connection to the platform, and those to its former addresses until their votes have
// an outcome.
//
// Order of calls: start() once, then cast_vote() and change_address() at any time. Units: none. Errors:
// messages that can't be used are logged and ignored; one that can't be read has the connection opened anew.
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
  // `seed`: of the connection's jitter.
  ReleaseSubscription(RouterContext& context, const EndpointRegistry& registry,
                      std::vector<std::string> request_classes, std::string address, std::uint64_t seed);

  // A release state in the platform's form; nothing happens where it is no JSON.
  void apply_configured_state(const std::string& state);
  void start() { open(); }
  void cast_vote(ReleaseVersion version, unsigned stage, Vote vote) { client_->vote(version, stage, vote); }
  void change_address(const std::string& address);

 private:
  void open();
  // These return false where the message can't be read.
  bool on_notification(const std::string& method, const Json& message);
  bool on_unknown_notification(const std::string& method);
  bool on_vote_outcome(VoteOutcome outcome, const Json* state);
  bool on_release_state(const Json& message);

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
  std::string unknown_method_;  // met once
};

}  // namespace ashbeam
