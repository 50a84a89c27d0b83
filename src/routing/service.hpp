// The router on sockets: makes its parts, connects them, and brings each request through them. Nothing here
// decides anything; the decisions are those of RouterPolicy.
//
// Order of calls: construct it, then set_authorizer(), set_metadata_verifier() and listen_with_tls() where
// they are needed, then start(); change_addresses() at any time; shut_down() once. All on the event loop's
// thread. Units: as in Limits. Errors: the constructor and listen_with_tls() throw Poco::Exception where an
// address can't be listened at.
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
  // Ends the program gracefully; `done` is called once nothing is left.
  void shut_down(std::function<void()> done) { shutdown_.begin(std::move(done)); }
  bool is_shutting_down() const { return shutdown_.has_begun(); }
  // Discovery and the release platform are elsewhere from now on; what was learnt stands.
  void change_addresses(const std::string& discovery, const std::string& release_platform);

  // From now on requests are authorised before they are accepted. `forward_token`: to the endpoints.
  void set_authorizer(std::unique_ptr<calling::Authorizer> authorizer, bool forward_token);
  calling::Authorizer* authorizer() { return authorization_.authorizer(); }
  // From now on metadata files are checked before their first byte is forwarded.
  void set_metadata_verifier(std::unique_ptr<metadata::MetadataVerifier> verifier);
  const metadata::MetadataVerifier* metadata_verifier() const { return metadata_.verifier(); }
  // A second listener, behind TLS.
  void listen_with_tls(const TlsSettings& settings, std::shared_ptr<TlsCredentials> credentials);
  TlsAcceptor* tls_acceptor() { return tls_acceptor_.get(); }

  std::uint16_t port() const { return clients_.port(); }
  std::uint16_t tls_port() const { return clients_.tls_port(); }
  // Endpoint indices given out so far.
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

  // A complete request: whoever refuses it first answers it, else it is handed to the decisions.
  void on_request(ClientConnection& client, http::MessageParser& request);
  void answer_health_check(ClientConnection& client, const http::Head& head) const;
  // False where the id is remembered already.
  bool remember_request_id(const http::Head& head, Instant now, Instant deadline);
  AcceptedRequest make_accepted_request(const ClientConnection& client, http::MessageParser& request,
                                        const calling::Identity& identity) const;
  unsigned tenant_index_of(const http::Head& head, const calling::Identity& identity) const;
  void log_accepted(const RequestArrival& arrival, const http::Head& head, Instant now);

  InstanceSettings instance_;
  std::vector<RequestClassRule> request_classes_;
  std::vector<std::string> tenants_;
  bool sticky_keys_;
  RouterContext context_;
  std::unique_ptr<TlsAcceptor> tls_acceptor_;  // before the connections that stand behind it
  ClientConnections clients_;
  EndpointPools pools_;
  EndpointListLease lease_;
  EndpointRegistry registry_;
  Readiness readiness_;
  EndpointWatch endpoint_watch_;
  ReleaseSubscription releases_;
  RequestAuthorization authorization_;
  MetadataCheck metadata_;
  RequestLifecycle requests_;
  GracefulShutdown shutdown_;
  WakeupTimers wakeups_;
  RecentRequestIds recent_ids_;
  std::string request_id_;  // of the request at hand; a member, so that its memory is used again
};

}  // namespace ashbeam
