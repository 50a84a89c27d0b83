// Implements `ashbeam demo`: runs a router, clients, and fakes of the endpoints, of discovery and of the
// release platform in one process on loopback. The router first has to abort a release that fails a third of
// its requests, and then to promote one that works.
#pragma once
#include <cstdint>

namespace ashbeam {

struct DemoOptions {
  // The demo ends after this time, or earlier once both releases have ended. 0: it runs until SIGTERM or
  // SIGINT.
  double seconds = 0;
  std::uint16_t port = 0;  // of the router; 0 for any free port
};
// Returns the exit code of the program: 0 if both releases have ended as expected, or if no end time is set;
// else 1.
int demo(const DemoOptions& options);

}  // namespace ashbeam
