// Shared by the benchmarks that run the router program: its process, and fake peers on loopback.
#pragma once
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "fakes/discovery.hpp"
#include "fakes/endpoint.hpp"
#include "fakes/release_platform.hpp"

namespace ashbeam {

// Fake endpoints that answer at once, and a fake discovery and release platform.
class FakeDeployment {
 public:
  FakeDeployment(EventLoop& loop, const Limits& limits, int endpoint_count)
      : discovery_(loop, limits), platform_(loop, limits, {1}, [](const fakes::ReleasePlatform::State&) {}) {
    for (int i = 0; i < endpoint_count; ++i) {
      endpoints_.push_back(
          std::make_unique<fakes::Endpoint>(loop, limits, [](const http::Head&, const std::string&) {
            return fakes::EndpointAnswer{200, Duration(), false, "ok\n"};
          }));
      discovery_.put(
          {"h" + std::to_string(i), endpoints_.back()->address(), fakes::ListedState::kUp, 1, Instant()});
    }
  }
  std::string discovery_address() const { return discovery_.address(); }
  // Returns a router's configuration file. `settings` is its member of that name, a JSON object.
  std::string configuration(const std::string& settings) const {
    return R"({"seed":"7","release_api":{"address":")" + platform_.address() + R"(","news":)" +
           platform_.state_json() + R"(},"known":)" + discovery_.list() + R"(,"settings":)" + settings + "}";
  }

 private:
  fakes::Discovery discovery_;
  fakes::ReleasePlatform platform_;
  std::vector<std::unique_ptr<fakes::Endpoint>> endpoints_;
};

// Returns a request of the request class "look" and the tenant "shop".
inline std::string look_request(std::uint64_t id, unsigned time_left_ms) {
  return "GET /look/1 HTTP/1.1\r\nHost: l\r\nX-Account: shop\r\nX-Time-Left-Ms: " +
         std::to_string(time_left_ms) + "\r\nX-Correlation-Id: l" + std::to_string(id) + "\r\n\r\n";
}

// A process of the router program.
class RouterProcess {
 public:
  // Starts `command`, a null-terminated list of the program and its arguments, as a router that listens at
  // `listen`.
  RouterProcess(char** command, const char* listen, const FakeDeployment& deployment,
                const std::string& settings) {
    char path[] = "/tmp/ashbeam-bench-XXXXXX";
    const int file = ::mkstemp(path);
    if (file < 0) throw std::runtime_error("mkstemp failed: /tmp/ashbeam-bench-XXXXXX");
    ::close(file);
    configuration_path_ = path;
    std::ofstream(path) << deployment.configuration(settings);
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::setenv("PROXY_NAME", "load", 1);
    ::setenv("PROXY_LISTEN", listen, 1);
    ::setenv("PROXY_DISCOVERY", deployment.discovery_address().c_str(), 1);
    ::setenv("PROXY_CONFIG", path, 1);
    ::execvp(command[0], command);
    ::_exit(127);
  }
  ~RouterProcess() {
    if (!ended_) end(SIGKILL);
    ::unlink(configuration_path_.c_str());
  }
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  struct End {
    int status = 0;  // the wait status of wait4
    rusage used{};
  };
  // Sends the signal and waits for the process to end. To be called once.
  End end(int signal) {
    End end;
    ::kill(pid_, signal);
    ::wait4(pid_, &end.status, 0, &end.used);
    ended_ = true;
    return end;
  }

 private:
  std::string configuration_path_;
  pid_t pid_ = 0;
  bool ended_ = false;
};

}  // namespace ashbeam
