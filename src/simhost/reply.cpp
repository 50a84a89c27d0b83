#include "simhost/reply.hpp"

namespace ashbeam::simhost {

Writer& Reply::action(RouterId router, ActionCode code) {
  if (speaking_ != router) {
    writer_->u8(static_cast<std::uint8_t>(ActionCode::kSpeakingRouter));
    writer_->u32(router);
    speaking_ = router;
  }
  writer_->u8(static_cast<std::uint8_t>(code));
  return *writer_;
}

void Reply::line(RouterId router, ActionCode code, std::string_view text) {
  text = text.substr(0, kMaxLogLineBytes);
  action(router, code).text({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
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
