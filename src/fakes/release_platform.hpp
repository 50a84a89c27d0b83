// A fake release platform on which a single vote decides: `promote` starts the next stage, `abort` rolls the
// release back. It speaks JSON-RPC 2.0 with one message per line.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/limits.hpp"
#include "fakes/loopback_host.hpp"
#include "protocol/json.hpp"
#include "protocol/lines.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace ashbeam::fakes {

enum class ReleaseProgress : std::uint8_t { kCanary, kRollingBack, kReleased, kWithdrawn };
// Returns the name of the progress on the wire.
const char* wire_name(ReleaseProgress progress);

class ReleasePlatform {
 public:
  struct State {
    unsigned version = 1;
    unsigned stage = 0;
    ReleaseProgress progress = ReleaseProgress::kReleased;
    double exposure_cap = 1;
    Instant since;  // when the platform entered this state
  };
  using OnChange = std::function<void(const State&)>;

  // `exposure_caps` holds one cap per stage. `on_change` is called after each change of the state. `loop` and
  // `limits` must outlive the platform.
  ReleasePlatform(EventLoop& loop, const Limits& limits, std::vector<double> exposure_caps,
                  OnChange on_change);
  ~ReleasePlatform();

  std::string address() const { return loopback_host() + ":" + std::to_string(listener_.port()); }
  const State& state() const { return state_; }
  // Returns the state as the JSON object that the platform sends.
  std::string state_json() const;
  // Starts the release of a version at its first stage.
  void start_release(unsigned version);

 private:
  class Client;
  void on_vote(unsigned version, unsigned stage, const std::string& vote);
  void change(ReleaseProgress progress, unsigned stage);
  void notify_clients(const std::string& line);
  std::string state_notification() const;

  EventLoop& loop_;
  const Limits& limits_;
  std::vector<double> exposure_caps_;
  OnChange on_change_;
  State state_;
  std::vector<std::unique_ptr<Client>> clients_;
  Timer keep_alive_;
  Timer rollback_end_;
  Listener listener_;
};

}  // namespace ashbeam::fakes
