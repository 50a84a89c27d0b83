// Runs the access configuration loader on a router's thread and records when each revocation takes effect.
#pragma once
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "program/access_config_loader.hpp"
#include "router_thread.hpp"

namespace ashbeam {

// The revocation of a key or certificate.
struct Revocation {
  Instant written_at;             // when its file was complete
  std::uint64_t load_number = 0;  // number of the load that includes it
  // When it took effect, in microseconds: all later requests are decided with it. 0: not yet in
  // effect.
  std::atomic<std::int64_t> in_force_us{0};
};

// To be used on the router's thread only.
class AccessReloads {
 public:
  AccessReloads(const RouterThread::Parts& router, const std::string& operators_file) : loop_(router.loop) {
    loader_ =
        std::make_unique<AccessConfigLoader>(loop_, router.service, router.wire_settings, router.settings,
                                             operators_file, 7, [this](std::string_view line) {
                                               print_log_line(line);
                                               record_completed_loads();
                                             });
  }
  // Reloads the files; the revocation waits for that load.
  void reload(const std::shared_ptr<Revocation>& revocation) {
    revocation->load_number = loader_->reload();
    waiting_.push_back(revocation);
  }

 private:
  // Called after each log line of the loader. The loader logs the end of a load before any further request is
  // decided, so that the time of the line is the time when the load takes effect.
  void record_completed_loads() {
    if (!loader_) return;
    std::erase_if(waiting_, [this](const std::shared_ptr<Revocation>& revocation) {
      if (revocation->load_number > loader_->completed_loads()) return false;
      revocation->in_force_us = loop_.now().us();
      return true;
    });
  }

  EventLoop& loop_;
  std::vector<std::shared_ptr<Revocation>> waiting_;
  std::unique_ptr<AccessConfigLoader> loader_;
};

}  // namespace ashbeam
