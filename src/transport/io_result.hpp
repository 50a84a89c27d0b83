// What one read or write of a byte stream came to. The system's errno, or a library's error, is turned into
// this at the call and read nowhere else.
#pragma once
#include <cstddef>
#include <cstdint>

namespace ashbeam {

struct IoResult {
  enum class Status : std::uint8_t {
    kDone,        // `bytes` were read or written
    kWouldBlock,  // nothing for now: wait until the socket is ready
    kEnded,       // the other side has ended the stream in order
    kBroken,      // the stream was reset, or failed
  };
  Status status = Status::kBroken;
  std::size_t bytes = 0;

  static IoResult done(std::size_t bytes) { return {Status::kDone, bytes}; }
  static IoResult would_block() { return {Status::kWouldBlock, 0}; }
  static IoResult ended() { return {Status::kEnded, 0}; }
  static IoResult broken() { return {Status::kBroken, 0}; }
};

// recv(2) and send(2) on a non-blocking socket; bytes that are sent raise no SIGPIPE.
IoResult receive_from(int socket, char* buffer, std::size_t size, int flags = 0);
IoResult send_to(int socket, const char* bytes, std::size_t size);

}  // namespace ashbeam
