// The load of the fault test of the authorizer: clients with each kind of credentials at one router. Signing
// keys rotate every 2 s, certificates and keys are revoked throughout, and bad tokens flood the router in the
// middle third of the run.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "access_reloads.hpp"
#include "base/pcg.hpp"
#include "fakes/client.hpp"
#include "figures.hpp"
#include "operator_files.hpp"
#include "router_thread.hpp"
#include "token_flood.hpp"

namespace ashbeam {

// The credentials of a client.
enum class CredentialKind : std::uint8_t {
  kNone,
  kToken,
  kCertificate,
  kBoundToken,          // a token bound to the client's certificate (RFC 8705)
  kRevokedCertificate,  // a certificate that is revoked soon after the client's first requests
  kRevokedKey,          // a token whose signing key is revoked soon after the client's first requests
};
const char* credential_name(CredentialKind kind);

struct AccessCounts {
  std::uint64_t sent = 0;
  std::uint64_t valid_refused = 0;           // valid credentials refused with 401, 403 or 429
  std::uint64_t valid_failed = 0;            // valid credentials, another status than 200
  std::uint64_t revoked_served = 0;          // sent when the revocation was in force, and served
  std::uint64_t revoked_refused = 0;         // sent when the revocation was in force, and not served
  std::uint64_t unauthenticated_served = 0;  // served without credentials
  std::uint64_t unanswered = 0;
  std::uint64_t answered_twice = 0;
  std::uint64_t duplicates = 0;  // unsafe requests that ran twice
  std::uint64_t key_rotations = 0;
  std::uint64_t certificates_revoked = 0;
  std::uint64_t keys_revoked = 0;
  std::uint64_t resumed = 0;
  std::map<std::string, std::uint64_t> served_by_kind;
  std::vector<double> normal_ms;  // latencies of requests with valid credentials, outside the flood
  std::vector<double> flood_ms;   // the same during the flood
  double max_in_force_ms = 0;     // longest time from the writing of a revocation until it was in force
  TokenFlood::Result flood;
};

class AccessLoad {
 public:
  // Starts the router. `proof` and `files` must outlive this object.
  AccessLoad(const Proof& proof, OperatorFiles& files);
  // Runs the load for the time of `proof` and returns its counts. To be called once.
  AccessCounts run();

 private:
  struct LoadClient {
    LoadClient(AccessLoad& load, CredentialKind client_kind, std::string client_subject)
        : kind(client_kind), subject(std::move(client_subject)),
          timer(load.loop_, [this, &load] { load.begin_request(*this); }) {}
    CredentialKind kind;
    std::string subject;
    std::string token;
    std::string request_id;
    fakes::Identity identity;
    std::unique_ptr<fakes::Client> client;
    Instant renew_token_at;
    Instant sent_at;
    std::shared_ptr<Revocation> revocation;
    bool retried = false;
    bool sent_when_revoked = false;
    Timer timer;
  };

  fakes::EndpointAnswer serve(const http::Head& head);
  bool is_flooding() const { return flood_ != nullptr; }

  void add_clients();
  void connect(LoadClient& client, bool resume);
  void add_client_to_revoke();
  void rotate_keys();
  void revoke();
  void revoke_newest();
  void remove_revoked_clients();
  void record_revocation(LoadClient& client);
  std::string sign(const tokens::KeyEntry& signer, const LoadClient& client, Duration lifetime);

  void begin_request(LoadClient& client);
  void send(LoadClient& client);
  void on_answer(LoadClient& client, const fakes::Client::Answer& answer);
  void on_valid_client_answer(LoadClient& client, const fakes::Client::Answer& answer);

  const Proof& proof_;
  OperatorFiles& files_;
  Pcg random_;
  EventLoop loop_;
  Limits limits_;
  AccessCounts counts_;
  FakeSurroundings surroundings_;
  std::vector<tokens::KeyEntry> listed_keys_;
  tokens::KeyEntry signing_key_;
  unsigned rotations_ = 0;
  unsigned request_ids_ = 0;
  unsigned clients_to_revoke_ = 0;
  std::string revoked_lines_;
  std::set<std::string> unsafe_ids_run_;
  std::vector<std::unique_ptr<LoadClient>> clients_;
  Timer rotate_timer_;
  Timer revoke_timer_;
  Timer end_timer_;
  Timer flood_begin_timer_;
  Timer flood_end_timer_;
  std::unique_ptr<TokenFlood> flood_;
  AccessReloads* reloads_ = nullptr;  // on the router's thread
  std::unique_ptr<RouterThread> router_;
};

}  // namespace ashbeam
