#include "simhost/reply.hpp"

namespace ashbeam::simhost {

Writer& Reply::begin_action(RouterId router, ActionCode code) {
  if (acting_router_ != router) {
    writer_->u8(static_cast<std::uint8_t>(ActionCode::kActingRouter));
    writer_->u32(router);
    acting_router_ = router;
  }
  writer_->u8(static_cast<std::uint8_t>(code));
  return *writer_;
}

void Reply::add_text(RouterId router, ActionCode code, std::string_view text) {
  text = text.substr(0, kMaxLogLineBytes);
  begin_action(router, code).text({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
}

VoteCode vote_code(Vote vote) {
  switch (vote) {
    case Vote::kAbstain:
      return VoteCode::kAbstain;
    case Vote::kPromote:
      return VoteCode::kPromote;
    case Vote::kPause:
      return VoteCode::kPause;
    case Vote::kAbort:
      return VoteCode::kAbort;
  }
  return VoteCode::kAbstain;
}

}  // namespace ashbeam::simhost
