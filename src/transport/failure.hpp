// Classifies why a connection could not be established or ended. Errors of this machine (no descriptor, no
// port, no memory, no route) are kept apart from those of the peer, because they say nothing about the peer's
// health. The classification follows the Linux manual pages socket(7), connect(2), send(2) and recv(2).
#pragma once
#include <cstdint>

namespace ashbeam {

enum class ConnectionFailure : std::uint8_t {
  kNone,
  kLocal,        // an error of this machine, before any packet was sent
  kRefused,      // the peer's machine answered with a reset, because no process listens on the port
  kUnreachable,  // no answer arrived
  kBroken,       // an established connection was reset or timed out
};
// Returns the name of the failure for log lines.
const char* name_of(ConnectionFailure failure);

// Classifies an errno value that socket(2) or connect(2) returned at once.
ConnectionFailure classify_immediate_error(int error);
// Classifies the errno value (SO_ERROR) with which an asynchronous connect(2) ended.
ConnectionFailure classify_pending_error(int error);

}  // namespace ashbeam
