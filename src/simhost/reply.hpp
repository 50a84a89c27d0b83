// The reply to one batch: the routers' actions, encoded. A record that names the router goes before the first
// action of each run of actions of the same router.
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
  // Starts a batch, whose actions are appended to `writer`, which has to outlive it.
  void begin_batch(Writer& writer) {
    writer_ = &writer;
    acting_router_.reset();
  }
  // Begins an action; its fields are the caller's to write.
  Writer& begin_action(RouterId router, ActionCode code);
  // An action that is a line of text; what is too long is cut off.
  void add_text(RouterId router, ActionCode code, std::string_view text);

 private:
  Writer* writer_ = nullptr;
  std::optional<RouterId> acting_router_;  // whose actions are being named
};

VoteCode vote_code(Vote vote);

}  // namespace ashbeam::simhost
