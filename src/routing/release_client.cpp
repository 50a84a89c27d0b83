#include "routing/release_client.hpp"

#include <algorithm>
#include <utility>

#include "protocol/json_rpc.hpp"
#include "routing/release_messages.hpp"

namespace ashbeam {

ReleaseClient::ReleaseClient(EventLoop& loop, const Limits& limits, std::string address, std::uint64_t seed,
                             Callbacks callbacks)
    : loop_(loop), limits_(limits), address_(std::move(address)), random_(seed),
      callbacks_(std::move(callbacks)), lines_(limits.max_platform_line_bytes),
      backoff_(limits.min_platform_retry_delay),
      silence_timer_(loop, [this] { on_lost(LossReason::kSilent); }),
      reconnect_timer_(loop, [this] { open(); }), answer_timer_(loop, [this] { expire_overdue_calls(); }) {}

const char* ReleaseClient::name_of(LossReason reason) {
  switch (reason) {
    case LossReason::kClosed:
      return "closed or failed";
    case LossReason::kSilent:
      return "no message within the timeout";
    case LossReason::kInvalidMessage:
      return "malformed or unexpected message";
  }
  return "unknown";
}

void ReleaseClient::open() {
  lines_.clear();
  connected_ = false;
  Connection::Owner& owner = *this;
  connection_ = std::make_unique<Connection>(loop_, limits_, owner, address_);
  call(kSubscribeMethod, "", CallKind::kSubscribe);
  silence_timer_.schedule_after(limits_.platform_connect_timeout);
}

void ReleaseClient::on_connected() {
  connected_ = true;
  silence_timer_.schedule_after(limits_.platform_silence_timeout);
}

void ReleaseClient::call(const char* method, const std::string& params, CallKind kind) {
  const bool is_vote = kind == CallKind::kVote;
  calls_.push_back({next_call_id_, is_vote, loop_.now() + limits_.platform_answer_timeout});
  connection_->write(make_json_rpc_request(next_call_id_++, method, params));
  if (is_vote && !answer_timer_.is_scheduled()) answer_timer_.schedule_at(calls_.back().deadline);
}

void ReleaseClient::vote(ReleaseVersion version, unsigned stage, Vote vote) {
  if (!connection_) return loop_.post([this] { callbacks_.on_vote_outcome(VoteOutcome::kFailed, nullptr); });
  call(kVoteMethod, encode_vote(version, stage, vote), CallKind::kVote);
}

// Reports the outcome kUnknown for each vote whose answer is overdue. The platform may have accepted it, or
// may yet do so.
void ReleaseClient::expire_overdue_calls() {
  Instant next_deadline = Instant::never();
  // By index, because the callback may vote again, which adds a call.
  // NOLINTNEXTLINE(modernize-loop-convert): iterators would be invalidated by that.
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    Call& call = calls_[i];
    if (!call.awaits_outcome) continue;
    if (call.deadline > loop_.now()) {
      next_deadline = std::min(next_deadline, call.deadline);
      continue;
    }
    call.awaits_outcome = false;
    callbacks_.on_vote_outcome(VoteOutcome::kUnknown, nullptr);
  }
  if (next_deadline < Instant::never()) answer_timer_.schedule_at(next_deadline);
  finish_if_retired();
}

void ReleaseClient::retire(std::function<void()> on_retired) {
  on_retired_ = std::move(on_retired);
  reconnect_timer_.cancel();
  finish_if_retired();
}

void ReleaseClient::finish_if_retired() {
  if (!on_retired_) return;
  if (std::any_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.awaits_outcome; })) return;
  close();
  loop_.post(std::exchange(on_retired_, nullptr));
}

void ReleaseClient::on_data() {
  const std::string bytes(connection_->unread());
  connection_->consume(bytes.size());
  const bool lines_accepted =
      lines_.feed(bytes, [this](std::string_view line) { return line.empty() || on_line(line); });
  if (!lines_accepted) return on_lost(LossReason::kInvalidMessage);
  finish_if_retired();
}

bool ReleaseClient::on_line(std::string_view line) {
  const auto message = Json::parse(line);
  if (!message || !message->is_object()) return false;
  silence_timer_.schedule_after(
      limits_.platform_silence_timeout);  // not restarted by bytes that never complete a line
  on_established();
  const std::string method = message->text("method");
  if (method.empty()) return on_answer(*message);
  if (method != kPingMethod) {
    const auto params = message->member("params");
    if (!params) return false;
    const bool retired = on_retired_ != nullptr;
    if (!retired && !callbacks_.on_notification(method, *params)) return false;
  }
  backoff_ = limits_.min_platform_retry_delay;
  return true;
}

void ReleaseClient::on_established() {
  if (failed_connections_ == 0) return;
  callbacks_.log("connection established again, failures before: " + std::to_string(failed_connections_));
  failed_connections_ = 0;
}

// Answers arrive in the order of the calls. If an answer names a later call, the calls before it have no
// answer, and their outcome is unknown.
bool ReleaseClient::on_answer(const Json& answer) {
  const double id = answer.number("id", -1);
  const auto result = answer.member("result");
  const auto error = answer.member("error");
  const bool has_either = result.has_value() != error.has_value();
  const auto answered = [id](const Call& call) { return static_cast<double>(call.id) == id; };
  if (!has_either || std::none_of(calls_.begin(), calls_.end(), answered)) return false;
  while (!calls_.empty() && static_cast<double>(calls_.front().id) <= id) {
    const Call call = calls_.front();
    calls_.pop_front();
    if (!call.awaits_outcome) continue;
    if (static_cast<double>(call.id) < id) {
      callbacks_.on_vote_outcome(VoteOutcome::kUnknown, nullptr);
    } else if (error) {
      const VoteOutcome outcome = vote_outcome_of(error->text("message"));
      callbacks_.on_vote_outcome(outcome, nullptr);
      if (outcome == VoteOutcome::kUnknown) return false;
    } else if (!callbacks_.on_vote_outcome(VoteOutcome::kAccepted, &*result)) {
      return false;
    }
  }
  return true;
}

void ReleaseClient::close() {
  silence_timer_.cancel();
  answer_timer_.cancel();
  if (!connection_) return;
  connection_->close();
  loop_.destroy_later(std::move(connection_));
}

void ReleaseClient::on_lost(LossReason reason) {
  if (failed_connections_++ == 0) callbacks_.log(std::string("connection lost: ") + name_of(reason));
  // A vote that was never written was not carried out. Of any other this is not known.
  const VoteOutcome outcome = connected_ ? VoteOutcome::kUnknown : VoteOutcome::kFailed;
  close();
  const std::deque<Call> calls = std::exchange(calls_, {});
  for (const Call& call : calls) {
    if (call.awaits_outcome) callbacks_.on_vote_outcome(outcome, nullptr);
  }
  if (on_retired_) return finish_if_retired();
  reconnect_timer_.schedule_after(backoff_ * (0.5 + random_.next_double()));
  backoff_ = std::min(backoff_ * 2, limits_.max_platform_retry_delay);
}

}  // namespace ashbeam
