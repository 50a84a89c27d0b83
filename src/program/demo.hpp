// `ashbeam demo`: a router with fake endpoints, discovery and release platform, all in one process on
// loopback.
#pragma once
#include <cstdint>

namespace ashbeam {

struct DemoOptions {
  double seconds = 0;      // ends then, or once both releases have ended; 0: only by a signal
  std::uint16_t port = 0;  // the router's; 0: any
};
// Returns the program's exit code.
int demo(const DemoOptions& options);

}  // namespace ashbeam
