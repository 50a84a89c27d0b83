// The router on sockets: what comes in on any of them becomes a call of the decision module, and what the
// module says is carried out. Nothing here decides anything.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/detail_log.hpp"
#include "base/limits.hpp"
#include "base/slab.hpp"
#include "calling/authorizer.hpp"
#include "metadata/metadata_verifier.hpp"
#include "policy/endpoint_lease.hpp"
#include "policy/endpoint_start.hpp"
#include "policy/router_policy.hpp"
#include "routing/callers.hpp"
#include "routing/discovery.hpp"
#include "routing/host_pools.hpp"
#include "routing/ids.hpp"
#include "routing/release_client.hpp"
#include "terms/wire_settings.hpp"
#include "transport/event_loop.hpp"
#include "transport/tls.hpp"

namespace ashbeam {

// Where a router stands among the others, as its machine tells it.
struct Site {
  std::string name, listen, discovery, desk;
  std::uint64_t seed = 0;
  std::string known, news;  // JSON in discovery's and the release desk's forms, or empty
};

class Service : private RouterActions, private Discovery::Events {
 public:
  using Note = std::function<void(std::string_view)>;  // a log line
  Service(EventLoop& loop, const Limits& limits, const RouterSettings& terms, const WireSettings& door,
          const Site& site, Note note);
  ~Service() override;
  void start();
  // Ends the program by and by: not ready, all that comes is answered, `ended` once nothing is left.
  void wind_down(std::function<void()> ended);
  // Discovery and the release desk are elsewhere from now on; what was learnt stands.
  void move_to(const std::string& discovery, const std::string& desk);
  // From now on who calls is asked before a hit is taken; before `start`, or not at all.
  void guard(std::unique_ptr<calling::Authorizer> gate, bool token_goes_on);
  calling::Authorizer* gate() { return gate_.get(); }
  // From now on metadata files are checked before their first byte goes on; before `start`, or not at all.
  void watch_metadata(std::unique_ptr<metadata::MetadataVerifier> warden) { warden_ = std::move(warden); }
  const metadata::MetadataVerifier* warden() const { return warden_.get(); }
  // A second listener, behind TLS.
  void also_listen(const TlsSettings& terms, std::shared_ptr<TlsCredentials> material);
  TlsAcceptor* tls() { return tls_.get(); }
  std::uint16_t port() const { return callers_.port(); }
  std::uint16_t tls_port() const { return callers_.veiled_port(); }
  std::size_t host_places() const { return hosts_.size(); }
  // Detailed lines on requests, attempts and calls to discovery; off at the start.
  DetailLog& detail_log() { return detail_; }
  bool winding_down() const { return winding_down_; }

 private:
  struct Leg {
    EndpointIndex host = 0;
    Instant sent;
    HostPools::Link* link = nullptr;  // stands while the forward is out
  };
  struct Metadata {
    std::uint32_t repository = 0;
    std::string file;
    std::uint64_t client = 0;
    std::string refused;  // why the last answer was not passed on
  };
  struct Hit {
    bool live = false;         // in a place of the slab
    Caller* caller = nullptr;  // none once it is answered or its client has left
    Instant give_up_at;
    std::uint64_t key = 0;   // where keys are one-way
    std::string head, body;  // of each forward, but for the time left
    std::vector<Leg> legs;
    unsigned out = 0;
    calling::AdmissionToken ticket;
    std::unique_ptr<Metadata> metadata;  // of a hit for a repository's file
  };
  struct Known {  // of a host, as last listed
    std::string address;
    double build = 0, started = 0;  // as listed
    Instant start;                  // on our clock
    bool listed = false;
    unsigned out = 0;  // forwards
    Instant gone_at;
  };

  // The places of names that stand in the settings' lists. One that does not has a place behind them, so that
  // it is never taken for another; names past the most share the last place.
  class Names {
   public:
    Names(std::vector<std::string> known, const char* what) : known_(std::move(known)), what_(what) {}
    unsigned place(const std::string& name);
    std::string take_unknown() { return std::exchange(untold_, {}); }  // once each
    const char* what() const { return what_; }

   private:
    static constexpr unsigned kMostUnknown = 16;
    std::vector<std::string> known_, unknown_;
    std::string untold_;
    const char* what_;
  };
  static RouterSettings on_sockets(RouterSettings terms, Span connect);

  // What the module does.
  void send_attempt(RequestId id, EndpointIndex host) override;
  void reject(RequestId id, Span retry_after) override;
  void fail(RequestId id) override;
  void cancel_attempt(RequestId id, unsigned leg) override;
  void schedule_wakeup(Span from_now, std::uint64_t token) override;
  void watch_endpoints() override;
  void cast_vote(ReleaseVersion build, unsigned stage, Vote vote) override;
  void log(std::string_view line) override;

  // Who is calling: false where the request has been answered with why not.
  bool known(Caller& caller, const http::Head& head, const TlsStream::PeerProof& proof,
             calling::Identity& who);
  bool let_in(Caller& caller, const calling::Identity& who, unsigned group, calling::AdmissionToken& ticket);
  void refuse(Caller& caller, calling::Refusal why, Span retry_after);
  void tell_refused();
  // Is this answer fit for the client? What is not counts as an error of its host.
  bool fit(Hit& hit, EndpointIndex host, const http::Messages& answer);

  // What comes in.
  void came(Caller& caller, http::Messages& request);
  void left(Caller& caller);
  void forward_ended(RequestId id, unsigned leg, AttemptResult result, const http::Messages* answer);
  void recall_earlier(std::uint64_t key, double build);
  void listed(bool whole, const Json& entries) override;
  void list_confirmed() override;
  void list_begun() override;
  void list_lost(const char* why, bool again, bool refused) override;
  static policy::EndpointLeaseSettings lease_terms(const Limits& limits, const RouterSettings& terms,
                                                   Span connect);
  void lease_changed(const char* why);
  void publish_lease();
  void list_entry(const Json& entry);
  void forget_hosts();
  bool desk_said(const std::string& method, const Json& params);
  bool stage(const Json& state, bool answers_vote);
  bool vote_answered(VoteOutcome answer, const Json* state);
  void open_desk();
  void overdue(RequestId id);

  template <class What>
  void tell(What&& what) {
    module_->set_time(loop_.now());
    what(*module_);
  }
  Caller* take_caller(RequestId id);  // for its final answer
  void answer_finally(RequestId id, unsigned status, std::string_view fields = {});
  void abandon(RequestId id);  // the module need not answer it any more
  void drop_if_over(RequestId id);
  void failed_locally();
  void check_wound_down();
  void ready_without_list();
  void now_ready();

  EventLoop& loop_;
  const Limits& limits_;
  WireSettings door_;
  std::vector<Idempotency> repeats_;  // by path group
  Site site_;
  Note note_;
  DetailLog detail_;
  std::unique_ptr<TlsAcceptor> tls_;  // before the connections that stand behind it
  Callers callers_;
  HostPools pools_;
  policy::EndpointLease lease_;
  policy::LeaseState lease_state_ = policy::LeaseState::kExpired;  // as last logged
  Instant known_until_;
  Discovery discovery_;
  std::unique_ptr<ReleaseClient> desk_;
  std::vector<std::unique_ptr<ReleaseClient>>
      retired_;  // of former addresses, until their votes are answered
  Slab<Hit> hits_;
  bool one_way_;
  Ids ids_;
  std::string id_;  // of the request at hand; kept for its room
  unsigned in_hand_ = 0;
  std::map<std::string, EndpointIndex, std::less<>> indices_;
  std::vector<Known> hosts_;
  std::vector<EndpointIndex> free_hosts_;
  std::map<std::uint64_t, std::unique_ptr<Timer>> wakes_;
  unsigned watch_tries_ = 0;  // since it was lost
  std::string doubted_;       // news of an unknown kind, met once
  bool started_ = false, ready_ = false, winding_down_ = false;
  Timer first_ask_, listed_ready_, lease_over_, local_failures_over_;
  std::uint64_t local_failures_ = 0;  // since this machine last had none for a while
  Instant stop_at_;
  Timer stop_;
  std::function<void()> wound_down_;
  std::unique_ptr<calling::Authorizer> gate_;
  std::unique_ptr<metadata::MetadataVerifier> warden_;
  std::map<metadata::Why, Instant> refusal_told_;  // one line for each kind and second
  bool token_goes_on_ = false;
  calling::Identity who_;                    // of the request at hand; kept for its room
  std::vector<std::uint64_t> refused_told_;  // by reason, as last logged
  Timer refused_;
  Names zones_, kinds_;
  std::unique_ptr<RouterPolicy> module_;
};

}  // namespace ashbeam
