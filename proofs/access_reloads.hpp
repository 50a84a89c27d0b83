// The access configuration loader of a router on its own thread, and the time from which each rereading of
// the files is in force.
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

// Of a key or certificate that the files say is revoked.
struct Revocation {
  Instant written_at;                        // the file was complete
  std::uint64_t reading = 0;                 // the one that brings it
  std::atomic<std::int64_t> in_force_us{0};  // no request is decided without it from then on; 0: not yet
};

// All of it on the router's thread.
class AccessReloads {
 public:
  AccessReloads(const RouterThread::Parts& router, const std::string& operators_file) : loop_(router.loop) {
    loader_ =
        std::make_unique<AccessConfigLoader>(loop_, router.service, router.wire_settings, router.settings,
                                             operators_file, 7, [this](std::string_view line) {
                                               print_log_line(line);
                                               note_readings();
                                             });
  }
  void reread(const std::shared_ptr<Revocation>& revocation) {
    revocation->reading = loader_->reload();
    waiting_.push_back(revocation);
  }

 private:
  // At each line of the loader: no request is decided before the reading has been taken in whole.
  void note_readings() {
    if (!loader_) return;
    std::erase_if(waiting_, [this](const std::shared_ptr<Revocation>& revocation) {
      if (revocation->reading > loader_->completed_loads()) return false;
      revocation->in_force_us = loop_.now().us();
      return true;
    });
  }

  EventLoop& loop_;
  std::vector<std::shared_ptr<Revocation>> waiting_;
  std::unique_ptr<AccessConfigLoader> loader_;
};

}  // namespace ashbeam
