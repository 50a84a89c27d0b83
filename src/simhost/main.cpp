// Reads batches from standard input and answers each on standard output, until the input ends.
#include <cstdio>
#include <exception>

#include "simhost/fleet.hpp"

namespace {

using namespace ashbeam::simhost;

// False at a clean end of input; a frame that stops half way is an error.
bool read_all(std::uint8_t* to, std::size_t n, bool may_end) {
  const std::size_t got = std::fread(to, 1, n, stdin);
  if (got == n) return true;
  if (got == 0 && may_end) return false;
  throw WireError("input ended inside a frame: " + std::to_string(got) + " of " + std::to_string(n) +
                  " bytes");
}

int serve() {
  Fleet fleet;
  std::vector<std::uint8_t> batch;
  Writer reply, length;
  std::uint8_t head[16];
  while (read_all(head, sizeof head, true)) {
    Reader in(head);
    const std::uint32_t records = in.u32();
    const std::uint32_t bytes = in.u32();
    const double clock_ms = in.f64();
    if (bytes < 8) throw WireError("batch header: length " + std::to_string(bytes) + " is too short");
    batch.resize(bytes - 8);
    read_all(batch.data(), batch.size(), false);
    reply.clear();
    fleet.handle(clock_ms, records, batch, reply);
    length.clear();
    length.u32(static_cast<std::uint32_t>(reply.bytes().size()));
    std::fwrite(length.bytes().data(), 1, 4, stdout);
    std::fwrite(reply.bytes().data(), 1, reply.bytes().size(), stdout);
    if (std::fflush(stdout) != 0) throw WireError("standard output is closed");
  }
  return 0;
}

}  // namespace

int main() {
  try {
    return serve();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "ashbeam_simhost: %s\n", e.what());
    return 1;
  }
}
