// Measures the CPU time that a whole router spends per request or per TLS handshake. The router runs on its
// own thread; fake peers and the clients run on the caller's.
#pragma once
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fakes/certificate_authority.hpp"
#include "fakes/client.hpp"
#include "fakes/discovery.hpp"
#include "fakes/endpoint.hpp"
#include "fakes/release_platform.hpp"
#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"
#include "terms/router_settings_reader.hpp"
#include "tokens/keys.hpp"

namespace ashbeam {

// Settings of an authorizer that requires tokens or certificates of the tenant "shop".
calling::CallingSettings benchmark_settings();
// Returns a token of the tenant "shop", valid for one hour from `now`.
std::string benchmark_token(const tokens::Key& key, const std::string& subject, Instant now);

// The clients' credentials, and how often they connect.
enum class LoadKind : std::uint8_t {
  kPlain,             // no credentials, persistent connections
  kToken,             // a token per client, persistent connections
  kMtls,              // a certificate per client, persistent connections
  kFullHandshake,     // a certificate per client, a new connection for each request
  kResumedHandshake,  // the same, with TLS session resumption
};

class RouterUnderLoad {
 public:
  struct Result {
    std::uint64_t good = 0;     // answers with status 200
    std::uint64_t other = 0;    // other statuses, and connections closed without an answer
    std::uint64_t resumed = 0;  // answers on connections with a resumed TLS session
    std::int64_t cpu_us = 0;    // of the router's thread
    double seconds = 0;

    Result& operator+=(const Result& other_result);
    // Returns the served requests per second of the router thread's CPU time.
    double good_per_cpu_s() const;
  };

  explicit RouterUnderLoad(LoadKind kind);
  ~RouterUnderLoad();
  RouterUnderLoad(const RouterUnderLoad&) = delete;
  RouterUnderLoad& operator=(const RouterUnderLoad&) = delete;
  // Sends requests for the given time. Each client sends its next request as soon as it has an answer.
  Result run(double seconds);

 private:
  bool uses_tls() const { return kind_ >= LoadKind::kMtls; }
  void add_fakes();
  void add_clients();
  void run_router();
  void add_access_control(EventLoop& loop, Service& service);
  void send(std::size_t client);

  LoadKind kind_;
  tokens::Key key_;
  fakes::CertificateAuthority authority_{"authority"};
  std::vector<fakes::Identity> identities_;
  EventLoop loop_;  // of the fakes and the clients
  RouterSettings settings_;
  WireSettings wire_settings_;
  Limits limits_;
  std::vector<std::unique_ptr<fakes::Endpoint>> endpoints_;
  std::unique_ptr<fakes::Discovery> discovery_;
  std::unique_ptr<fakes::ReleasePlatform> release_platform_;
  std::vector<std::unique_ptr<fakes::Client>> clients_;
  std::vector<std::string> tokens_;  // by client
  Result result_;
  std::uint64_t request_ids_ = 0;
  std::atomic<std::int64_t> cpu_us_ = 0;
  std::atomic<std::uint16_t> port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;  // the router's
};

}  // namespace ashbeam
