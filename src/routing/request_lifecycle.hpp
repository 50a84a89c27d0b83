// The life of a request, from when it is accepted until it has its answer and no attempt is in flight any
// more. Each gets exactly one final answer, by whatever comes first: an attempt, the decisions' word, or its
// overdue deadline; none where its client has gone.
//
// Order of calls: accept(), then tell the decisions of it; what they decide is carried out by send_attempt(),
// cancel_attempt(), reject() and fail(). Units: requests by the id that accept() gives out, attempts counted
// from 0 for each request. Errors: none; ids are valid until the request is over.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/slab.hpp"
#include "calling/authorizer.hpp"
#include "routing/client_connection.hpp"
#include "routing/endpoint_list_lease.hpp"
#include "routing/endpoint_pools.hpp"
#include "routing/endpoint_registry.hpp"
#include "routing/local_failure_log.hpp"
#include "routing/metadata_check.hpp"
#include "routing/request_authorization.hpp"
#include "routing/router_context.hpp"

namespace ashbeam {

// A request as it is forwarded.
struct AcceptedRequest {
  Instant deadline;              // when its client stops waiting
  std::uint64_t sticky_key = 0;  // 0: none, or keys do not bind
  std::string head;              // first line and header lines, but for the time left
  std::string body;
  calling::QuotaHold admission;
  std::unique_ptr<MetadataRequest> metadata;  // null: not for a metadata file
};

class RequestLifecycle {
 public:
  RequestLifecycle(RouterContext& context, EndpointPools& pools, EndpointRegistry& registry,
                   EndpointListLease& lease, RequestAuthorization& authorization, MetadataCheck& metadata);

  RequestId accept(ClientConnection& client, AcceptedRequest accepted);

  // See RouterActions for these.
  void send_attempt(RequestId id, EndpointIndex endpoint);
  void cancel_attempt(RequestId id, unsigned attempt);
  void reject(RequestId id, Duration retry_after);
  void fail(RequestId id);

  // The client of a request has gone; nothing happens where it has no request at hand.
  void on_client_closed(ClientConnection& client);
  // Answers with an error what the decisions have left open.
  void on_answer_deadline(ClientConnection& client);
  void fail_all_unanswered();

  bool empty() const { return request_count_ == 0; }

 private:
  struct Attempt {
    EndpointIndex endpoint = 0;
    Instant sent_at;
    EndpointPools::PooledConnection* connection = nullptr;  // while it is in flight
  };
  struct Request {
    AcceptedRequest accepted;
    bool in_use = false;                 // of the slab's slot
    ClientConnection* client = nullptr;  // null once it is answered or has gone
    std::vector<Attempt> attempts;
    unsigned attempts_in_flight = 0;
  };

  // What an attempt's answer counts for, and the status that the client gets.
  struct CheckedAnswer {
    AttemptResult result = AttemptResult::kOk;
    unsigned status = 0;
  };

  std::string build_attempt_request(RequestId id, Instant deadline);
  void on_attempt_end(RequestId id, unsigned attempt, AttemptResult result,
                      const http::MessageParser* answer);
  void log_attempt_begin(RequestId id, unsigned attempt, EndpointIndex endpoint, Duration time_left);
  // The attempt as it was, with its connection; it is not in flight any more.
  Attempt take_ended_attempt(RequestId id, unsigned attempt);
  CheckedAnswer check_metadata(Request& request, EndpointIndex endpoint, AttemptResult result,
                               const http::MessageParser* answer);
  // False where the client is answered already, or has gone.
  bool answer_client(RequestId id, unsigned status, const http::MessageParser& answer);
  void cancel_unsent_attempts_to_older_versions(std::uint64_t sticky_key, double version);
  void answer_without_attempt(RequestId id, unsigned status, std::string_view fields);
  ClientConnection* take_client(RequestId id);
  void fail_overdue(RequestId id);
  void notify_client_gone(RequestId id);
  void release_if_complete(RequestId id);

  RouterContext& context_;
  EndpointPools& pools_;
  EndpointRegistry& registry_;
  EndpointListLease& lease_;
  RequestAuthorization& authorization_;
  MetadataCheck& metadata_;
  LocalFailureLog local_failures_;
  Slab<Request> requests_;
  std::uint32_t request_count_ = 0;  // in use
};

}  // namespace ashbeam
