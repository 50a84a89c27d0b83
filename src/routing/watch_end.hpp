// How a watch on the endpoint list has ended, or a call to discovery that would have become one.
#pragma once
#include <cstdint>

#include "base/time.hpp"

namespace ashbeam {

enum class WatchEndReason : std::uint8_t {
  kClosed,            // discovery closed the connection or ended the response, or the connection failed
  kRefused,           // no process listens at the address of discovery
  kLocalFailure,      // this machine could not connect (no descriptor, port, memory or route)
  kSilent,            // no complete line within the timeout
  kStalled,           // no further byte of an incomplete line within the timeout
  kAddressChanged,    // the address of discovery was changed
  kInvalidHttp,       // the head of the response is not valid HTTP
  kUnexpectedStatus,  // the status of the response is not 200
  kInvalidChunks,     // the chunked framing of the body is not valid
  kInvalidLine,       // a line is too long or no endpoint list, or its list is to be requested again
};
// Returns the reason as a phrase for log lines.
const char* name_of(WatchEndReason reason);

struct WatchEnd {
  WatchEndReason reason = WatchEndReason::kClosed;
  Instant call_started_at = Instant();  // not set if the router has closed the call
  bool replaced = false;                // another watch has already been started
  bool unavailable = false;             // discovery has ended the call at once and without an answer
};

}  // namespace ashbeam
