// `ashbeam demo`: a router with stand-in hosts, discovery and desk in one process on loopback.
#pragma once
#include <cstdint>

namespace ashbeam {

struct DemoOptions {
  double seconds = 0;
  std::uint16_t port = 0;
};
int demo(const DemoOptions& options);

}  // namespace ashbeam
