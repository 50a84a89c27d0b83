#include "routing/attempt_result.hpp"

namespace ashbeam {

const char* name_of(AttemptResult result) {
  switch (result) {
    case AttemptResult::kOk:
      return "ok";
    case AttemptResult::kError:
      return "error";
    case AttemptResult::kRejected:
      return "rejected";
    case AttemptResult::kTimeout:
      return "timeout";
    case AttemptResult::kConnectFailed:
      return "connect failed";
    case AttemptResult::kReset:
      return "reset";
    case AttemptResult::kCancelled:
      return "cancelled";
    case AttemptResult::kCancelledBeforeSent:
      return "cancelled before sent";
    case AttemptResult::kLocalFailure:
      return "local failure";
  }
  return "unknown";
}

}  // namespace ashbeam
