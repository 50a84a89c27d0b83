#include "routing/watch_end.hpp"

namespace ashbeam {

const char* name_of(WatchEndReason reason) {
  switch (reason) {
    case WatchEndReason::kClosed:
      return "connection closed";
    case WatchEndReason::kRefused:
      return "connection refused";
    case WatchEndReason::kLocalFailure:
      return "this machine could not connect";
    case WatchEndReason::kSilent:
      return "no complete line within the timeout";
    case WatchEndReason::kStalled:
      return "incomplete line stalled";
    case WatchEndReason::kAddressChanged:
      return "address of discovery changed";
    case WatchEndReason::kInvalidHttp:
      return "invalid HTTP response head";
    case WatchEndReason::kUnexpectedStatus:
      return "response status is not 200";
    case WatchEndReason::kInvalidChunks:
      return "invalid chunked body";
    case WatchEndReason::kInvalidLine:
      return "line rejected: too long, invalid, or to be requested again";
  }
  return "unknown";
}

}  // namespace ashbeam
