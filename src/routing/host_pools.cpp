#include "routing/host_pools.hpp"

#include <algorithm>
#include <utility>

#include "transport/connection.hpp"

namespace ashbeam {

class HostPools::Link : public Connection::Owner {
 public:
  Link(HostPools& pools, EndpointIndex host, std::size_t place)
      : pools_(pools), host_(host), place_(place),
        connection_(pools.loop_, pools.limits_, *this, pools.hosts_[host].address),
        answers_(http::Side::kAnswers, pools.limits_.max_head_bytes, pools.limits_.max_body_bytes),
        timer_(pools.loop_, [this] { late(); }) {}

  EndpointIndex host() const { return host_; }
  bool waiting() const { return next_ != nullptr; }
  bool written() const { return !bytes_ && !connection_.has_pending_output(); }
  bool usable() const { return connection_.is_idle(); }
  bool holds_unasked() const { return connection_.has_input(); }
  Instant idle_since() const { return idle_since_; }
  Instant opened_at() const { return opened_at_; }
  void let_go() { keep_ = false; }
  void shut() { timer_.off(), connection_.close(); }  // no callback comes after this
  std::size_t place() const { return place_; }
  void place(std::size_t at) { place_ = at; }

  void send(Bytes bytes, Instant until, Next next) {
    next_ = std::move(next);
    until_ = until;
    answers_.start_next();
    if (!connection_.connecting()) return timer_.at(until), connection_.write(bytes(until));
    bytes_ = std::move(bytes);
    timer_.at(std::min(until, pools_.loop_.now() + pools_.connect_));
  }

  // The forward's end, told at once or, from within a call of the owner's, after it.
  void finish(AttemptResult result, bool at_once) {
    Next next = std::move(next_);
    next_ = nullptr;
    pools_.remove(this);
    if (at_once) return next(result, nullptr);
    pools_.loop_.post([next = std::move(next), result] { next(result, nullptr); });
  }

  // What is not written whole has not run.
  AttemptResult unless_unwritten(AttemptResult result) const {
    if (written()) return result;
    return connection_.failure() == Failure::kLocal ? AttemptResult::kLocalFailure
                                                    : AttemptResult::kConnectFailed;
  }

  void on_connected() override {
    opened_at_ = pools_.loop_.now();
    if (!waiting()) return;
    timer_.at(until_);
    connection_.write(std::exchange(bytes_, nullptr)(until_));
  }

  void on_data() override {
    std::string_view bytes = connection_.unread();
    const std::size_t had = bytes.size();
    const auto got = waiting() ? answers_.feed(bytes) : http::ParseResult::kInvalid;
    connection_.consume(had - bytes.size());
    if (got == http::ParseResult::kIncomplete) return;
    if (!waiting()) {
      pools_.hosts_[host_].unasked_at = pools_.loop_.now();
      return pools_.remove(this);
    }
    if (got == http::ParseResult::kInvalid) return finish(unless_unwritten(AttemptResult::kReset), true);
    if (!bytes.empty()) pools_.hosts_[host_].unasked_at = pools_.loop_.now();
    answered(bytes.empty() && !answers_.closes_connection());
  }

  void on_closed() override {
    if (!waiting()) return pools_.remove(this);
    // Only an end in order ends a body of no length: a reset may come in the midst of it.
    if (!connection_.broken() && answers_.end_of_stream() == http::ParseResult::kComplete)
      return answered(false);
    finish(unless_unwritten(AttemptResult::kReset), true);
  }

 private:
  void answered(bool keep) {
    const unsigned status = answers_.status();
    AttemptResult result = status == 200 ? AttemptResult::kOk : AttemptResult::kError;
    if (status == 503 || status == 504) {
      if (answers_.head().find("X-Unprocessed") == "1") result = AttemptResult::kRejected;
    }
    const Next next = std::move(next_);
    next_ = nullptr;
    keep = keep && written();
    idle_since_ = pools_.loop_.now();
    if (keep) timer_.at(idle_since_ + pools_.limits_.endpoint_idle_timeout);
    else timer_.off();
    next(result, &answers_);
    if (keep && keep_) pools_.hosts_[host_].idle.push_back(this);
    else pools_.remove(this);
  }

  void late() {
    if (!waiting()) return pools_.remove(this);
    finish(unless_unwritten(AttemptResult::kTimeout), true);
  }

  HostPools& pools_;
  EndpointIndex host_;
  std::size_t place_;
  Connection connection_;
  http::MessageParser answers_;
  Timer timer_;
  Next next_;
  Bytes bytes_;  // until the connection is there
  Instant until_, idle_since_, opened_at_ = Instant::never();
  bool keep_ = true;
};

HostPools::HostPools(EventLoop& loop, const Limits& limits, Span connect)
    : loop_(loop), limits_(limits), connect_(connect) {}

HostPools::~HostPools() = default;

Instant HostPools::opened_at(const Link* link) { return link ? link->opened_at() : Instant::never(); }

void HostPools::place(EndpointIndex h, const std::string& address, bool fresh, bool takes_more) {
  if (h >= hosts_.size()) hosts_.resize(h + 1);
  hosts_[h].address = address;
  if (!fresh && takes_more) return;
  const std::vector<Link*> idle = hosts_[h].idle;
  for (Link* link : idle) remove(link);
  std::vector<Link*> stale;
  for (const auto& link : links_) {
    if (link->host() == h) stale.push_back(link.get());
  }
  for (Link* link : stale) {
    link->let_go();
    if (link->waiting() && !link->written()) link->finish(AttemptResult::kConnectFailed, false);
  }
}

// Guards against answers with more right behind them: what comes late would be taken for the next answer.
// Where many connections to one server rest at a time, each would cost it and us a new one: there the rest is
// short, unless that server has sent something unasked of late.
Span HostPools::rest(const Host& host) const {
  const bool suspect = loop_.now() - host.unasked_at < limits_.unsolicited_bytes_memory;
  return suspect || host.idle.size() < limits_.max_settling_connections ? limits_.endpoint_settle_time
                                                                        : limits_.busy_endpoint_settle_time;
}

HostPools::Link* HostPools::idle_link(EndpointIndex h) {
  const Instant settled = loop_.now() - rest(hosts_[h]);
  auto& idle = hosts_[h].idle;
  for (std::size_t i = idle.size(); i-- > 0;) {
    Link* const link = idle[i];
    if (link->idle_since() > settled) continue;
    if (link->usable()) {
      idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
      return link;
    }
    if (link->holds_unasked()) hosts_[h].unasked_at = loop_.now();
    remove(link);  // the host has closed it, or will
  }
  return nullptr;
}

// At the limit the connection that has been idle longest makes room.
bool HostPools::make_room() {
  if (links_.size() < limits_.max_endpoint_connections) return true;
  Link* oldest = nullptr;
  for (const Host& host : hosts_) {
    if (host.idle.empty()) continue;
    if (!oldest || host.idle.front()->idle_since() < oldest->idle_since()) oldest = host.idle.front();
  }
  if (!oldest) return false;
  remove(oldest);
  return true;
}

HostPools::Link* HostPools::send(EndpointIndex h, Bytes bytes, Instant until, Next next) {
  Link* link = h < hosts_.size() ? idle_link(h) : nullptr;
  if (!link && h < hosts_.size() && make_room()) {
    links_.push_back(std::make_unique<Link>(*this, h, links_.size()));
    link = links_.back().get();
  }
  if (!link) {
    loop_.post([next = std::move(next)] { next(AttemptResult::kLocalFailure, nullptr); });
    return nullptr;
  }
  link->send(std::move(bytes), until, std::move(next));
  return link;
}

void HostPools::cancel(Link* link) { link->finish(link->unless_unwritten(AttemptResult::kCancelled), false); }

bool HostPools::recall(Link* link) {
  if (link->written()) return false;
  link->finish(AttemptResult::kCancelledBeforeSent, false);
  return true;
}

void HostPools::remove(Link* link) {
  auto& idle = hosts_[link->host()].idle;
  idle.erase(std::remove(idle.begin(), idle.end(), link), idle.end());
  link->shut();
  const std::size_t place = link->place();
  std::swap(links_[place], links_.back());
  links_[place]->place(place);
  loop_.destroy_later(std::move(links_.back()));
  links_.pop_back();
}

}  // namespace ashbeam
