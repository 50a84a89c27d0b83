// Clients of each kind at one router, while its signing keys rotate every 2 s, certificates and keys are
// revoked all along, and in the middle third a flood of bad tokens comes.
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

// How a client proves who it is.
enum class ProofKind : std::uint8_t {
  kNone,
  kToken,
  kCertificate,
  kBoundToken,          // bound to the certificate that it is sent beside
  kRevokedCertificate,  // revoked soon after it has begun to be served
  kRevokedKey,          // the key of its token is
};
const char* name_of(ProofKind kind);

struct AccessCounts {
  std::uint64_t sent = 0;
  std::uint64_t valid_refused = 0;
  std::uint64_t valid_failed = 0;
  std::uint64_t revoked_served = 0;
  std::uint64_t revoked_refused = 0;
  std::uint64_t unproven_served = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t answered_twice = 0;
  std::uint64_t duplicates = 0;  // unsafe requests that an endpoint has run twice
  std::uint64_t key_rotations = 0;
  std::uint64_t certificates_revoked = 0;
  std::uint64_t keys_revoked = 0;
  std::uint64_t resumed = 0;
  std::map<std::string, std::uint64_t> served_by_kind;
  std::vector<double> calm_ms;   // of the proven clients' requests
  std::vector<double> flood_ms;  // the same while the flood lasts
  double max_in_force_ms = 0;    // the longest from a revocation's file to its being in force
  TokenFlood::Result flood;
};

class AccessLoad {
 public:
  AccessLoad(const Proof& proof, OperatorFiles& files);
  AccessCounts run();

 private:
  struct ProvenClient {
    ProvenClient(AccessLoad& load, ProofKind client_kind, std::string client_subject)
        : kind(client_kind), subject(std::move(client_subject)),
          timer(load.loop_, [this, &load] { load.begin_request(*this); }) {}
    ProofKind kind;
    std::string subject;
    std::string token;
    std::string request_id;
    fakes::Identity identity;
    std::unique_ptr<fakes::Client> client;
    Instant renew_token_at;
    Instant sent_at;
    std::shared_ptr<Revocation> revocation;
    bool sent_again = false;
    bool sent_when_revoked = false;
    Timer timer;
  };

  fakes::EndpointAnswer serve(const http::Head& head);
  bool flooding() const { return flood_ != nullptr; }

  void add_clients();
  void connect(ProvenClient& client, bool resume);
  void add_client_to_revoke();
  void rotate_keys();
  void revoke();
  void revoke_newest();
  void forget_revoked();
  void note_revocation(ProvenClient& client);
  std::string sign(const tokens::KeyEntry& signer, const ProvenClient& client, Duration lifetime);

  void begin_request(ProvenClient& client);
  void send(ProvenClient& client);
  void take_answer(ProvenClient& client, const fakes::Client::Answer& answer);
  void take_valid_answer(ProvenClient& client, const fakes::Client::Answer& answer);

  const Proof& proof_;
  OperatorFiles& files_;
  Pcg chance_;
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
  std::vector<std::unique_ptr<ProvenClient>> clients_;
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
