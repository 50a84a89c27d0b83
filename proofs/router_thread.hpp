// Shared by the fault tests of a whole router: its configuration, fakes for all its peers, and the router on
// its own thread.
#pragma once
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/discovery.hpp"
#include "fakes/endpoint.hpp"
#include "fakes/release_platform.hpp"
#include "program/router_limits.hpp"
#include "program/startup_configuration.hpp"
#include "terms/router_settings_reader.hpp"

namespace ashbeam {

// Returns the configuration file of a router with one zone. `request_classes` is the JSON list of the setting
// `grades`.
inline std::string router_configuration(unsigned max_attempts, const std::string& request_classes) {
  return R"({"seed":"7","release_api":{"address":"127.0.0.1:1"},"settings":{
  "allowed":{"cancel":true,"connectTimeoutMs":250,"connIdleMs":20000,"maxAttempts":)" +
         std::to_string(max_attempts) + R"(,"retryAfter":true,
             "maxRetryAfterMs":2000},
  "discovery":"subscribe",
  "familyInfo":{"mostShares":[0.2,1.0],"rings":[0.2,1.0],"spanMs":1000,"ballotTtlMs":8000,
                "decidedBy":"majority","spareTries":2,"callsPerS":10},
  "grades":)" +
         request_classes + R"(,
  "kinds":["usual"],"myNumber":0,"parties":[{"name":"shop","allowancePerS":1000000}],"replicasOfMe":1,
  "rules":{"drainGraceMs":500,"fallMs":400,"fallMultiple":2,"startCapacity":0.5,"warmAfterMs":800},
  "stats":{"how":"off"},"tickMs":5,"zone":0,"zones":["one"]}})";
}

// Fake endpoints, discovery and release platform on the event loop of the test.
class FakeSurroundings {
 public:
  FakeSurroundings(EventLoop& loop, const Limits& limits)
      : loop_(loop), limits_(limits), discovery_(loop, limits),
        release_platform_(loop, limits, {0.2, 1.0}, [](const fakes::ReleasePlatform::State&) {}) {}

  // Starts an endpoint and adds it to discovery.
  void add_endpoint(fakes::Endpoint::Handler serve) {
    const std::string name = "h" + std::to_string(endpoints_.size());
    endpoints_.push_back(std::make_unique<fakes::Endpoint>(loop_, limits_, std::move(serve)));
    discovery_.put({name, endpoints_.back()->address(), fakes::ListedState::kUp, 1, Instant()});
  }
  InstanceSettings instance_settings() const {
    return {"proof", "127.0.0.1:0",     discovery_.address(),          release_platform_.address(),
            7,       discovery_.list(), release_platform_.state_json()};
  }

 private:
  EventLoop& loop_;
  const Limits& limits_;
  std::vector<std::unique_ptr<fakes::Endpoint>> endpoints_;
  fakes::Discovery discovery_;
  fakes::ReleasePlatform release_platform_;
};

// Prints a log line of the router on standard error if the environment variable PROOF_LOG is set.
inline void print_log_line(std::string_view line) {
  if (std::getenv("PROOF_LOG")) std::fprintf(stderr, "%.*s\n", static_cast<int>(line.size()), line.data());
}

// Runs a router on its own thread from construction to destruction.
class RouterThread {
 public:
  struct Parts {
    EventLoop& loop;
    Service& service;
    const WireSettings& wire_settings;
    const RouterSettings& settings;
  };
  // Called on the router's thread before the service starts. The object that it returns is kept until the
  // event loop has ended.
  using SetUp = std::function<std::shared_ptr<void>(const Parts&)>;

  RouterThread(std::string configuration, InstanceSettings instance, SetUp set_up)
      : thread_([this, configuration = std::move(configuration), instance = std::move(instance),
                 set_up = std::move(set_up)] { run(configuration, instance, set_up); }) {
    while (!running_) ::usleep(1000);
  }
  ~RouterThread() {
    EventLoop* const loop = loop_;
    loop->post_from_thread([loop] { loop->stop(); });
    thread_.join();
  }
  RouterThread(const RouterThread&) = delete;
  RouterThread& operator=(const RouterThread&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::string tls_address() const { return "127.0.0.1:" + std::to_string(tls_port_); }
  // Calls `function` on the router's thread, asynchronously.
  void post(std::function<void()> function) { loop_.load()->post_from_thread(std::move(function)); }

 private:
  void run(const std::string& configuration, const InstanceSettings& instance, const SetUp& set_up) {
    EventLoop loop;
    const StartupConfiguration start = parse_startup_configuration(configuration, instance);
    InstanceSettings full_instance = start.instance;
    full_instance.release_platform_address = instance.release_platform_address;
    full_instance.discovery_address = instance.discovery_address;
    full_instance.configured_endpoint_list = instance.configured_endpoint_list;
    full_instance.configured_release_state = instance.configured_release_state;
    const RouterSettings settings = read_router_settings(start.settings);
    const WireSettings wire_settings = read_wire_settings(start.settings);
    const Limits limits = make_limits({}, wire_settings, settings);
    Service service(loop, limits, settings, wire_settings, full_instance, print_log_line);
    const std::shared_ptr<void> attached = set_up({loop, service, wire_settings, settings});
    service.start();
    loop.enable_posts_from_threads();
    loop_ = &loop;
    port_ = service.port();
    tls_port_ = service.tls_port();
    running_ = true;
    loop.run();
  }

  std::atomic<EventLoop*> loop_ = nullptr;
  std::atomic<std::uint16_t> port_ = 0;
  std::atomic<std::uint16_t> tls_port_ = 0;
  std::atomic<bool> running_ = false;
  std::thread thread_;
};

}  // namespace ashbeam
