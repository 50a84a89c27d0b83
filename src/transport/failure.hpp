// Why a connection could not be made or did not last: what this machine refused, kept distinct from what the
// other side did. An error of this machine (no descriptor, no port, no memory, no route) says nothing about
// the other one. Source: socket(7), connect(2), send(2) and recv(2) of Linux.
#pragma once
#include <cstdint>

namespace ashbeam {

enum class ConnectionFailure : std::uint8_t {
  kNone,
  kLocal,        // by this machine, before anything left it
  kRefused,      // the other machine is there, and nobody listens
  kUnreachable,  // nothing came back
  kBroken,       // a connection that stood was reset or timed out
};
const char* name_of(ConnectionFailure failure);

// An error that socket() or connect() returned at once.
ConnectionFailure classify_immediate_error(int error);
// An error that a pending connection ended with.
ConnectionFailure classify_pending_error(int error);

}  // namespace ashbeam
