// The result of one read from or write to a byte stream. It is derived from errno, or from the error of the
// TLS library, right after the call, so that no other code reads those.
#pragma once
#include <cstddef>
#include <cstdint>

namespace ashbeam {

struct IoResult {
  enum class Status : std::uint8_t {
    kDone,        // `bytes` bytes were read or written
    kWouldBlock,  // no byte was read or written; the caller has to wait until the socket is ready
    kEnded,       // the peer has ended the stream in order
    kBroken,      // the stream was reset or failed
  };
  Status status = Status::kBroken;
  std::size_t bytes = 0;

  static IoResult done(std::size_t bytes) { return {Status::kDone, bytes}; }
  static IoResult would_block() { return {Status::kWouldBlock, 0}; }
  static IoResult ended() { return {Status::kEnded, 0}; }
  static IoResult broken() { return {Status::kBroken, 0}; }
};

// Calls recv(2) on a non-blocking socket, with `flags` as there.
IoResult receive_from_socket(int socket, char* buffer, std::size_t size, int flags = 0);
// Returns whether the peer of a connected socket has ended its stream or reset the connection, also if bytes
// that it sent before are still unread.
bool is_stream_ended(int socket);
// Returns whether bytes, the end of the stream or an error have arrived at a connected socket.
bool has_stream_event(int socket);
// Calls send(2) on a non-blocking socket. Does not raise SIGPIPE.
IoResult send_to_socket(int socket, const char* bytes, std::size_t size);

}  // namespace ashbeam
