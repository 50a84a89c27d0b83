// Controls each request from its acceptance until it has been answered and no attempt is in flight any more.
// A request gets exactly one final answer, from whatever comes first: a successful attempt, a decision of the
// routing policy, or the answer deadline. It gets none if its client has closed the connection.
//
// Call accept() for a request, and then RouterPolicy::on_request(). The policy's decisions are carried out by
// send_attempt(), cancel_attempt(), reject() and fail(). Requests are identified by the id that accept()
// returns, which is valid until the request has ended. Attempts are counted from 0 for each request. Nothing
// here can fail.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/byte_budget.hpp"
#include "base/slab.hpp"
#include "calling/authorizer.hpp"
#include "routing/client_connection.hpp"
#include "routing/endpoint_list_lease.hpp"
#include "routing/endpoint_pools.hpp"
#include "routing/endpoint_registry.hpp"
#include "routing/local_failure_log.hpp"
#include "routing/metadata_check.hpp"
#include "routing/recent_request_ids.hpp"
#include "routing/request_authorization.hpp"
#include "routing/router_context.hpp"

namespace ashbeam {

// A request in the form in which it is forwarded.
struct AcceptedRequest {
  Instant deadline;              // when the client stops waiting
  std::uint64_t sticky_key = 0;  // 0: none, or sticky keys are not enabled
  std::string head;              // start line and header lines, without the time left
  std::string body;
  RecentRequestIds::Digest id = 0;
  calling::QuotaHold admission;
  std::unique_ptr<MetadataRequest> metadata;  // null: not a request for a metadata file
};

class RequestLifecycle {
 public:
  RequestLifecycle(RouterContext& context, EndpointPools& pools, EndpointRegistry& registry,
                   EndpointListLease& lease, RequestAuthorization& authorization, MetadataCheck& metadata,
                   RecentRequestIds& recent_ids);

  // Returns whether there is memory for a request whose head and body have this size.
  bool has_room_for(std::size_t request_bytes) const;

  // Takes over the request and returns its id. `client` must stay valid until it has been answered or
  // on_client_closed() or on_surplus_input() has been called.
  RequestId accept(ClientConnection& client, AcceptedRequest accepted);

  // See RouterActions.
  void send_attempt(RequestId id, EndpointIndex endpoint);
  void cancel_attempt(RequestId id, unsigned attempt);
  void reject(RequestId id, Duration retry_after);
  void fail(RequestId id);

  // Called when a client has closed its connection. Does nothing if it has no current request.
  void on_client_closed(ClientConnection& client);
  // Called when a client has sent more than its request, which its connection then answers with an error.
  // Does nothing if the client has no current request.
  void on_surplus_input(ClientConnection& client);
  // Answers the client's current request with an error, because the routing policy has not completed it in
  // time.
  void on_answer_deadline(ClientConnection& client);
  // Answers every request that has no answer yet with an error.
  void fail_all_unanswered();

  bool empty() const { return request_count_ == 0; }

 private:
  struct Attempt {
    EndpointIndex endpoint = 0;
    Instant sent_at;
    AttemptHandle handle;
  };
  struct Request {
    AcceptedRequest accepted;
    bool in_use = false;                 // false: this slot of the slab is free
    ClientConnection* client = nullptr;  // null once answered, or once the client has gone
    std::vector<Attempt> attempts;
    unsigned attempts_in_flight = 0;
    bool may_have_run = false;       // an attempt has been passed to its connection
    std::size_t reserved_bytes = 0;  // of `budget_`
  };

  // The result of an attempt after the check of metadata, and the status for the client.
  struct CheckedAnswer {
    AttemptResult result = AttemptResult::kOk;
    unsigned status = 0;
  };

  // Returns the bytes of an attempt. None if the client has left: nothing is begun for it any more.
  std::optional<std::string> build_attempt_request(RequestId id, Instant deadline);
  void on_attempt_end(RequestId id, unsigned attempt, const AttemptResponse& response);
  // Returns whether the request has no client any more. If so, the request is ended after the current
  // callback.
  bool has_client_left(RequestId id);
  void release_if_client_left(RequestId id);
  void log_attempt_begin(RequestId id, unsigned attempt, EndpointIndex endpoint, Duration time_left);
  CheckedAnswer check_metadata(Request& request, EndpointIndex endpoint, const AttemptResponse& response);
  // Returns false if the client has been answered already, or has gone.
  bool answer_client(RequestId id, unsigned status, const http::MessageParser& answer);
  void cancel_unsent_attempts_to_older_versions(std::uint64_t sticky_key, double version);
  void answer_without_attempt(RequestId id, unsigned status, std::string_view fields);
  // Detaches the client from the request. Returns null if that has been done before.
  ClientConnection* take_client(RequestId id);
  void fail_overdue(RequestId id);
  // Ends the client's current request without an answer, and logs why.
  void abandon(ClientConnection& client, const char* reason);
  // Tells the routing policy that the request needs no answer any more.
  void notify_client_gone(RequestId id);
  void release_if_complete(RequestId id);

  RouterContext& context_;
  EndpointPools& pools_;
  EndpointRegistry& registry_;
  EndpointListLease& lease_;
  RequestAuthorization& authorization_;
  MetadataCheck& metadata_;
  RecentRequestIds& recent_ids_;
  LocalFailureLog local_failures_;
  ByteBudget budget_;
  Slab<Request> requests_;
  std::uint32_t request_count_ = 0;  // slots in use
};

}  // namespace ashbeam
