#include "transport/failure.hpp"

#include <cerrno>

namespace ashbeam {

const char* name_of(Failure failure) {
  switch (failure) {
    case Failure::kNone:
      return "none";
    case Failure::kLocal:
      return "local";
    case Failure::kRefused:
      return "refused";
    case Failure::kUnreachable:
      return "unreachable";
    case Failure::kBroken:
      return "broken";
  }
  return "unknown";
}

Failure failure_at_once(int error) { return error == ECONNREFUSED ? Failure::kRefused : Failure::kLocal; }

Failure failure_of_pending(int error) {
  switch (error) {
    case ECONNREFUSED:
    case ECONNRESET:
      return Failure::kRefused;
    case EADDRNOTAVAIL:
    case ENOBUFS:
    case ENOMEM:
      return Failure::kLocal;
    default:
      return Failure::kUnreachable;
  }
}

}  // namespace ashbeam
