// The program `ashbeam_simhost`: runs the decisions of many routers for a simulator. It reads batches of
// events from standard input and answers each with a reply on standard output, until the input ends. All
// numbers are big-endian.
//
// Batch: number of records (u32), length in bytes of the clock and the records (u32), simulated clock in
// milliseconds (f64), records. Reply: length in bytes of the records (u32), records.
#include <cerrno>
#include <cstdio>
#include <exception>
#include <string>
#include <system_error>

#include "simhost/fleet.hpp"

namespace {

using namespace ashbeam::simhost;

constexpr std::size_t kHeaderBytes = 16;
constexpr std::uint32_t kClockBytes = 8;  // included in a batch's length

enum class ReadResult { kComplete, kEndOfInput };

// Reads `size` bytes from standard input into `to`. Throws WireError if the input ends before that, unless it
// ends before the first byte and `may_end` is set.
ReadResult read_input(std::uint8_t* to, std::size_t size, bool may_end) {
  const std::size_t got = std::fread(to, 1, size, stdin);
  if (got == size) return ReadResult::kComplete;
  if (got == 0 && may_end) return ReadResult::kEndOfInput;
  throw WireError("standard input ended inside a batch: got " + std::to_string(got) + " of " +
                  std::to_string(size) + " bytes");
}

void write_reply(const Writer& reply) {
  Writer length;
  length.u32(static_cast<std::uint32_t>(reply.bytes().size()));
  std::fwrite(length.bytes().data(), 1, length.bytes().size(), stdout);
  std::fwrite(reply.bytes().data(), 1, reply.bytes().size(), stdout);
  if (std::fflush(stdout) != 0)
    throw WireError("cannot write a reply to standard output: " + std::generic_category().message(errno));
}

void serve() {
  Fleet fleet;
  std::vector<std::uint8_t> batch;
  Writer reply;
  std::uint8_t header[kHeaderBytes];
  while (read_input(header, sizeof header, true) == ReadResult::kComplete) {
    Reader fields(header);
    const std::uint32_t record_count = fields.u32();
    const std::uint32_t length = fields.u32();
    const double clock_ms = fields.f64();
    if (length < kClockBytes) {
      throw WireError("batch header: length " + std::to_string(length) + " is less than the " +
                      std::to_string(kClockBytes) + " bytes of the clock");
    }
    batch.resize(length - kClockBytes);
    read_input(batch.data(), batch.size(), false);
    reply.clear();
    fleet.handle(clock_ms, record_count, batch, reply);
    write_reply(reply);
  }
}

}  // namespace

int main() {
  try {
    serve();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ashbeam_simhost: %s\n", error.what());
    return 1;
  }
}
