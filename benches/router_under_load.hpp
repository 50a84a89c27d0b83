// A whole router on loopback with fakes around it, and its clients: what its own thread's CPU does by the
// request, or by the handshake.
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

calling::CallingSettings benchmark_settings();
std::string benchmark_token(const tokens::Key& key, const std::string& subject, Instant now);

// How the clients prove who they are, and how often they connect.
enum class LoadKind : std::uint8_t {
  kPlain,             // no proof, kept connections
  kToken,             // a token each, kept connections
  kMtls,              // a certificate each, kept connections
  kFullHandshake,     // a certificate each, a new connection for each request
  kResumedHandshake,  // the same, with session resumption
};

class RouterUnderLoad {
 public:
  struct Result {
    std::uint64_t good = 0;
    std::uint64_t other = 0;
    std::uint64_t resumed = 0;
    std::int64_t cpu_us = 0;  // of the router's thread
    double seconds = 0;

    Result& operator+=(const Result& other_result);
    double good_per_cpu_s() const;
  };

  explicit RouterUnderLoad(LoadKind kind);
  ~RouterUnderLoad();
  RouterUnderLoad(const RouterUnderLoad&) = delete;
  RouterUnderLoad& operator=(const RouterUnderLoad&) = delete;
  // All clients send requests for so long, each the next one as soon as it has its answer.
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
