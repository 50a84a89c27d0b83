#include "routing/release_client.hpp"

#include <algorithm>
#include <utility>

#include "protocol/json_rpc.hpp"

namespace ashbeam {

namespace {

const char* word(Vote vote) {
  switch (vote) {
    case Vote::kPromote:
      return "promote";
    case Vote::kPause:
      return "pause";
    case Vote::kAbort:
      return "abort";
    case Vote::kAbstain:
      break;
  }
  return "abstain";
}

VoteOutcome answer_of(const std::string& error) {
  if (error == "Throttling") return VoteOutcome::kThrottled;
  if (error == "ConditionFailed") return VoteOutcome::kConditionFailed;
  return error == "InternalFailure" || error == "ValidationError" ? VoteOutcome::kFailed
                                                                  : VoteOutcome::kUnknown;
}

}  // namespace

ReleaseClient::ReleaseClient(EventLoop& loop, const Limits& limits, std::string address, std::uint64_t seed,
                             News news, Answered answered, Note note)
    : loop_(loop), limits_(limits), address_(std::move(address)), chance_(seed), news_(std::move(news)),
      answered_(std::move(answered)), note_(std::move(note)), lines_(limits.max_platform_line_bytes),
      wait_(limits.platform_retry_min), silence_(loop, [this] { lost("silent"); }),
      again_(loop, [this] { open(); }), answers_(loop, [this] { check(); }) {}

void ReleaseClient::open() {
  lines_.clear();
  opened_ = false;
  connection_ = std::make_unique<Connection>(loop_, limits_, *this, address_);
  call("subscribe", "", false);
  silence_.in(limits_.platform_connect_timeout);
}

void ReleaseClient::on_connected() {
  opened_ = true;
  silence_.in(limits_.platform_silence_timeout);
}

void ReleaseClient::call(const char* method, const std::string& params, bool vote) {
  calls_.push_back({next_id_, vote, loop_.now() + limits_.platform_answer_timeout});
  connection_->write(json_rpc_request(next_id_++, method, params));
  if (vote && !answers_.armed()) answers_.at(calls_.back().until);
}

void ReleaseClient::vote(ReleaseVersion build, unsigned stage, Vote vote) {
  if (!connection_) return loop_.post([this] { answered_(VoteOutcome::kFailed, nullptr); });
  call("release.vote",
       "{\"image\":" + std::to_string(build) + ",\"ring\":" + std::to_string(stage) + ",\"opinion\":\"" +
           word(vote) + "\"}",
       true);
}

// A vote that has waited too long may have been taken, or may yet be: its answer is not waited for any more.
void ReleaseClient::check() {
  Instant next = Instant::never();
  for (std::size_t i = 0; i < calls_.size(); ++i) {  // the owner may vote again meanwhile
    Call& c = calls_[i];
    if (!c.vote) continue;
    if (c.until > loop_.now()) {
      next = std::min(next, c.until);
      continue;
    }
    c.vote = false;
    answered_(VoteOutcome::kUnknown, nullptr);
  }
  if (next < Instant::never()) answers_.at(next);
  end_if_retired();
}

void ReleaseClient::retire(std::function<void()> over) {
  over_ = std::move(over);
  again_.off();
  end_if_retired();
}

void ReleaseClient::end_if_retired() {
  if (!over_ || std::any_of(calls_.begin(), calls_.end(), [](const Call& c) { return c.vote; })) return;
  drop();
  loop_.post(std::exchange(over_, nullptr));
}

void ReleaseClient::on_data() {
  const std::string bytes(connection_->unread());
  connection_->consume(bytes.size());
  const bool good = lines_.feed(bytes, [&](std::string_view text) { return text.empty() || line(text); });
  if (!good) return lost("sends what can't be read");
  end_if_retired();
}

bool ReleaseClient::line(std::string_view text) {
  const auto whole = Json::parse(text);
  if (!whole || !whole->is_object()) return false;
  silence_.in(limits_.platform_silence_timeout);  // bytes that never end a line are no sign of life
  if (tries_ > 0) note_("connection stands again, tries " + std::to_string(tries_)), tries_ = 0;
  const std::string method = whole->text("method");
  if (method.empty()) {
    return answer(*whole);
  }
  if (method != "ping") {
    const auto params = whole->member("params");
    if (!params || (!over_ && !news_(method, *params))) return false;
  }
  wait_ = limits_.platform_retry_min;
  return true;
}

// Answers come in the calls' order: one that names a later call leaves those before it without any.
bool ReleaseClient::answer(const Json& whole) {
  const double id = whole.number("id", -1);
  const auto result = whole.member("result"), error = whole.member("error");
  const auto known = [id](const Call& c) { return static_cast<double>(c.id) == id; };
  if (!result == !error || std::none_of(calls_.begin(), calls_.end(), known)) return false;
  while (!calls_.empty() && static_cast<double>(calls_.front().id) <= id) {
    const Call at_hand = calls_.front();
    calls_.pop_front();
    if (!at_hand.vote) continue;
    if (static_cast<double>(at_hand.id) < id) {
      answered_(VoteOutcome::kUnknown, nullptr);
    } else if (error) {
      const VoteOutcome fate = answer_of(error->text("message"));
      answered_(fate, nullptr);
      if (fate == VoteOutcome::kUnknown) return false;
    } else if (!answered_(VoteOutcome::kAccepted, &*result)) {
      return false;
    }
  }
  return true;
}

void ReleaseClient::drop() {
  silence_.off();
  answers_.off();
  if (connection_) connection_->close(), loop_.destroy_later(std::move(connection_));
}

void ReleaseClient::lost(const char* why) {
  if (tries_++ == 0) note_(std::string("connection ") + why);
  // What was never written was not carried out; of the rest that is not known.
  const VoteOutcome fate = opened_ ? VoteOutcome::kUnknown : VoteOutcome::kFailed;
  drop();
  const std::deque<Call> calls = std::move(calls_);
  calls_.clear();
  for (const Call& c : calls) {
    if (c.vote) answered_(fate, nullptr);
  }
  if (over_) return end_if_retired();
  again_.in(wait_ * (0.5 + chance_.unit()));
  wait_ = std::min(wait_ * 2, limits_.platform_retry_max);
}

}  // namespace ashbeam
