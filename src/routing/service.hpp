// The router: constructs its components, connects them with each other, and passes each request through them.
// It decides nothing about requests itself; RouterPolicy does.
//
// Construct it; call set_authorizer(), set_metadata_verifier() and listen_with_tls() where needed; then call
// start(). change_addresses() may be called at any time after that, and shut_down() ends the service. All
// calls must come from the thread of the event loop. The constructor and listen_with_tls() throw
// Poco::Exception if they cannot listen at the address. Limits and timeouts are those of Limits.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/detail_log.hpp"
#include "base/limits.hpp"
#include "calling/authorizer.hpp"
#include "metadata/metadata_verifier.hpp"
#include "policy/router_policy.hpp"
#include "routing/client_connections.hpp"
#include "routing/endpoint_list_lease.hpp"
#include "routing/endpoint_pools.hpp"
#include "routing/endpoint_registry.hpp"
#include "routing/endpoint_watch.hpp"
#include "routing/graceful_shutdown.hpp"
#include "routing/instance_settings.hpp"
#include "routing/metadata_check.hpp"
#include "routing/readiness.hpp"
#include "routing/recent_request_ids.hpp"
#include "routing/release_subscription.hpp"
#include "routing/request_authorization.hpp"
#include "routing/request_lifecycle.hpp"
#include "routing/request_parser.hpp"
#include "routing/router_context.hpp"
#include "routing/wakeup_timers.hpp"
#include "terms/wire_settings.hpp"
#include "transport/event_loop.hpp"
#include "transport/tls_acceptor.hpp"

namespace ashbeam {

class Service : private RouterActions {
 public:
  Service(EventLoop& loop, const Limits& limits, const RouterSettings& settings,
          const WireSettings& wire_settings, const InstanceSettings& instance, LogFunction log);
  ~Service() override;

  void start();
  // Starts a graceful shutdown. `done` is called when it is complete.
  void shut_down(std::function<void()> done) { shutdown_.begin(std::move(done)); }
  bool is_shutting_down() const { return shutdown_.has_begun(); }
  // Changes the addresses of discovery and of the release platform. The endpoint list, the release state and
  // the statistics are kept.
  void change_addresses(const std::string& discovery, const std::string& release_platform);

  // From now on requests are authorized before they are accepted. `forward_token` says whether the client's
  // token is forwarded to the endpoint.
  void set_authorizer(std::unique_ptr<calling::Authorizer> authorizer, bool forward_token);
  calling::Authorizer* authorizer() { return authorization_.authorizer(); }
  // From now on metadata files are verified before any byte of them is forwarded to a client.
  void set_metadata_verifier(std::unique_ptr<metadata::MetadataVerifier> verifier);
  const metadata::MetadataVerifier* metadata_verifier() const { return metadata_.verifier(); }
  // Opens a second listener, whose connections use TLS.
  void listen_with_tls(const TlsSettings& settings, std::shared_ptr<TlsCredentials> credentials);
  // Returns null if there is no TLS listener.
  TlsAcceptor* tls_acceptor() { return tls_acceptor_.get(); }

  // The ports that the listeners are bound to. tls_port() returns 0 if there is no TLS listener.
  std::uint16_t port() const { return clients_.port(); }
  std::uint16_t tls_port() const { return clients_.tls_port(); }
  // Returns the number of endpoint indices that have been assigned so far, including free ones.
  std::size_t endpoint_slot_count() const { return registry_.slot_count(); }
  DetailLog& detail_log() { return context_.detail_log; }

 private:
  // RouterActions.
  void send_attempt(RequestId id, EndpointIndex endpoint) override { requests_.send_attempt(id, endpoint); }
  void reject(RequestId id, Duration retry_after) override { requests_.reject(id, retry_after); }
  void fail(RequestId id) override { requests_.fail(id); }
  void cancel_attempt(RequestId id, unsigned attempt) override { requests_.cancel_attempt(id, attempt); }
  void schedule_wakeup(Duration delay, std::uint64_t token) override { wakeups_.schedule(delay, token); }
  void watch_endpoints() override { endpoint_watch_.watch(); }
  void cast_vote(ReleaseVersion version, unsigned stage, Vote vote) override;
  void log(std::string_view line) override { context_.log(line); }

  // Called with each complete request. It passes the checks one after another; the first that refuses it
  // answers it. If none does, it is passed to the routing policy.
  void on_request(ClientConnection& client, http::MessageParser& request);
  void answer_health_check(ClientConnection& client, const http::Head& head) const;
  // Answers a request that is not sound, or cannot be accepted now, and returns whether it did. Leaves a
  // request unanswered whose client has gone.
  bool answer_unacceptable(ClientConnection& client, const http::MessageParser& request) const;
  // Stores the request's id. Answers the request, and returns false, if it must not be accepted with this id.
  bool remember_request_id(ClientConnection& client, unsigned request_class, RecentRequestIds::Digest id,
                           Instant now);
  AcceptedRequest make_accepted_request(const ClientConnection& client, http::MessageParser& request,
                                        const calling::Identity& identity) const;
  // Returns the index of the request's tenant in the settings, or one past the last if it names none of them.
  unsigned tenant_index_of(const http::Head& head, const calling::Identity& identity) const;
  void log_accepted(const RequestArrival& arrival, const http::Head& head, Instant now);

  InstanceSettings instance_;
  std::vector<RequestClassRule> request_classes_;
  std::vector<std::string> tenants_;
  bool sticky_keys_;
  RouterContext context_;
  // Must outlive the connections that it made, so it is declared before clients_.
  std::unique_ptr<TlsAcceptor> tls_acceptor_;
  ClientConnections clients_;
  EndpointPools pools_;
  EndpointListLease lease_;
  EndpointRegistry registry_;
  Readiness readiness_;
  EndpointWatch endpoint_watch_;
  ReleaseSubscription releases_;
  RequestAuthorization authorization_;
  MetadataCheck metadata_;
  RecentRequestIds recent_ids_;
  RequestLifecycle requests_;
  GracefulShutdown shutdown_;
  WakeupTimers wakeups_;
};

}  // namespace ashbeam
