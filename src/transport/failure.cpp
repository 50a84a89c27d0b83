#include "transport/failure.hpp"

#include <cerrno>

namespace ashbeam {

const char* name_of(ConnectionFailure failure) {
  switch (failure) {
    case ConnectionFailure::kNone:
      return "none";
    case ConnectionFailure::kLocal:
      return "local";
    case ConnectionFailure::kRefused:
      return "refused";
    case ConnectionFailure::kUnreachable:
      return "unreachable";
    case ConnectionFailure::kBroken:
      return "broken";
  }
  return "unknown";
}

ConnectionFailure classify_immediate_error(int error) {
  return error == ECONNREFUSED ? ConnectionFailure::kRefused : ConnectionFailure::kLocal;
}

ConnectionFailure classify_pending_error(int error) {
  switch (error) {
    case ECONNREFUSED:
      return ConnectionFailure::kRefused;
    case ECONNRESET:  // after the peer's machine had accepted the connection
      return ConnectionFailure::kBroken;
    case EADDRNOTAVAIL:
    case ENOBUFS:
    case ENOMEM:
      return ConnectionFailure::kLocal;
    default:
      return ConnectionFailure::kUnreachable;
  }
}

}  // namespace ashbeam
