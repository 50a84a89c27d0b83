// Encodes the reply to a batch: the routers' actions in the order in which they occur. A kActingRouter record
// precedes the first action of the reply and each action of another router than the previous one.
#pragma once
#include <cstdint>
#include <optional>
#include <string_view>

#include "policy/types.hpp"
#include "simhost/codes.hpp"
#include "simhost/wire.hpp"

namespace ashbeam::simhost {

using RouterId = std::uint32_t;

class Reply {
 public:
  // Begins the reply to a batch. Its actions are appended to `writer`, which must outlive the batch.
  void begin_batch(Writer& writer) {
    writer_ = &writer;
    acting_router_.reset();
  }
  // Writes the code of an action. The caller must then write its fields to the returned writer.
  Writer& begin_action(RouterId router, ActionCode code);
  // Writes an action whose only field is a line of text. Text of more than kMaxLogLineBytes is cut off.
  void add_text(RouterId router, ActionCode code, std::string_view text);

 private:
  Writer* writer_ = nullptr;
  std::optional<RouterId> acting_router_;  // the router of the last action, if there is one
};

// Returns the code of a vote in the protocol.
VoteCode vote_code(Vote vote);

}  // namespace ashbeam::simhost
