#include "routing/callers.hpp"

#include <unistd.h>

#include <algorithm>

namespace ashbeam {

Caller::Caller(Callers& callers, int accepted, std::unique_ptr<TlsStream> veil, std::size_t place)
    : callers_(callers), place_(place), since_(callers.loop_.now()),
      connection_(callers.loop_, callers.limits_, *this, accepted, std::move(veil)),
      requests_(http::Side::kRequests, callers.limits_.max_head_bytes, callers.limits_.max_body_bytes),
      timer_(callers.loop_, [this] { late(); }) {
  // Guards against clients that connect and say nothing, or never come to an end of what they say.
  serial = ++callers.serials_;
  timer_.in(connection_.handshaking() ? callers.handshake_() : callers.limits_.first_request_timeout);
}

void Caller::on_connected() {
  since_ = callers_.loop_.now();
  timer_.in(callers_.limits_.first_request_timeout);
}

void Caller::on_data() {
  if (at_ != At::kReading) {  // the next request waits for its turn
    // Guards against a client that leaves behind more than is held unread: its close would not be seen, and
    // its hit sent on. What comes after the answer is not served, as the answer says.
    if (at_ == At::kAnswering && connection_.unread().size() >= callers_.limits_.max_unread_bytes) {
      last_ = true;
      connection_.discard_input();
    }
    return;
  }
  std::string_view bytes = connection_.unread();
  if (bytes.empty()) return;
  const std::size_t had = bytes.size();
  const bool begun = requests_.started();
  const auto got = requests_.feed(bytes);
  connection_.consume(had - bytes.size());
  if (got == http::ParseResult::kIncomplete) {
    if (!begun && requests_.started()) {
      since_ = callers_.loop_.now();
      if (asked_) timer_.in(callers_.limits_.request_read_timeout);
    }
    if (!timer_.armed()) wait_for_more();  // nothing but blank lines came early
    return;
  }
  timer_.off();
  at_ = At::kAnswering;
  if (got == http::ParseResult::kComplete) {
    last_ = last_ || requests_.closes_connection();
    return callers_.came_(*this, requests_);
  }
  last_ = true;
  const unsigned fault = requests_.error_status();
  answer_plain(fault);
}

void Caller::answer_plain(unsigned status, std::string_view fields) {
  const std::string words = std::string(http::reason_phrase(status)) + "\n";
  std::string all(fields);
  all += "Content-Type: text/plain\r\nContent-Length: " + std::to_string(words.size()) + "\r\n";
  answer(status, all, words);
}

void Caller::answer(unsigned status, std::string_view fields, std::string_view body) {
  if (at_ != At::kAnswering) return;
  at_ = At::kWriting;
  bad_ = status >= 400 && status < 500;
  last_ = last_ || callers_.winding_down_ || callers_.enough_stand();
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " ";
  bytes.append(http::reason_phrase(status)).append("\r\n").append(fields);
  if (last_) bytes += "Connection: close\r\n";
  bytes.append("\r\n").append(body);
  timer_.in(callers_.limits_.answer_write_timeout);
  connection_.write(bytes);
  if (!connection_.has_pending_output()) written();
}

void Caller::on_write_complete() {
  if (at_ == At::kWriting) written();
}

void Caller::written() {
  timer_.off();
  since_ = callers_.loop_.now();
  if (last_) {
    return linger();
  }
  asked_ = true;
  requests_.start_next();
  if (bad_) {  // guards against a client that sends the same again as soon as it is turned away
    at_ = At::kPausing;
    return timer_.in(callers_.limits_.bad_request_pause);
  }
  at_ = At::kReading;
  if (connection_.unread().empty()) return wait_for_more();
  timer_.at(since_);  // what came early is read after the call at hand
}

void Caller::part() {
  parted_ = true;
  ++callers_.parted_;
  since_ = callers_.loop_.now();
  linger();
}

// Closing with bytes unread would reset the connection, and the answer with it.
void Caller::linger() {
  at_ = At::kLingering;
  connection_.shutdown_write();
  timer_.in(callers_.limits_.lingering_close_timeout);
  connection_.discard_input();
}

void Caller::wait_for_more() {
  const Limits& limits = callers_.limits_;
  timer_.at(since_ + (callers_.crowded() ? limits.crowded_client_idle_timeout : limits.client_idle_timeout));
}

void Caller::on_closed() {
  if (at_ == At::kAnswering) callers_.left_(*this);
  callers_.remove(this);
}

void Caller::late() {
  if (connection_.handshaking()) return callers_.remove(this);
  if (at_ == At::kPausing) {
    at_ = At::kReading;
    if (connection_.unread().empty()) return wait_for_more();
  }
  if (at_ == At::kReading && !connection_.unread().empty() && !requests_.started()) return on_data();
  if (at_ == At::kReading && requests_.started()) {
    at_ = At::kAnswering;
    last_ = true;
    return answer_plain(408);
  }
  if (at_ == At::kAnswering) return callers_.overdue_(*this);
  if (at_ != At::kReading) return callers_.remove(this);
  if (!connection_.is_idle()) return timer_.in(callers_.limits_.min_idle_before_close);  // it comes
  part();
}

Callers::Callers(EventLoop& loop, const Limits& limits, const std::string& address, Came came, Left left,
                 Left overdue)
    : loop_(loop), limits_(limits), came_(std::move(came)), left_(std::move(left)),
      overdue_(std::move(overdue)), room_(loop, [this] { make_room(); }),
      listener_(loop, address, limits.accept_backlog, [this](int fd) { accepted(fd, false); }) {}

void Callers::also_listen(const std::string& address, Veiled veil, std::function<Span()> handshake) {
  veil_ = std::move(veil);
  handshake_ = std::move(handshake);
  veiled_ = std::make_unique<Listener>(loop_, address, limits_.accept_backlog,
                                       [this](int fd) { accepted(fd, true); });
}

void Callers::pause_doors(bool on) {
  listener_.pause(on);
  if (veiled_) veiled_->pause(on);
}

void Callers::accepted(int fd, bool veiled) {
  if (fd < 0) return pause();
  last_came_ = loop_.now();
  std::unique_ptr<TlsStream> veil;
  if (veiled && !(veil = veil_(fd))) return void(::close(fd));
  callers_.push_back(std::make_unique<Caller>(*this, fd, std::move(veil), callers_.size()));
  make_room();
}

// As the last resort accepting pauses, until a connection ends or has stood idle long enough.
void Callers::make_room() {
  if (!full()) return pause_doors(false);
  if (!close_idlest()) pause();
}

bool Callers::enough_stand() const {
  if (callers_.size() <= limits_.max_idle_client_connections) return false;
  const auto standing =
      std::count_if(callers_.begin(), callers_.end(), [](const auto& c) { return c->stands(); });
  return static_cast<std::size_t>(standing) >= limits_.max_idle_client_connections;
}

void Callers::pause() {
  pause_doors(true);
  room_.in(limits_.new_connection_grace);
}

bool Callers::close_idlest() {
  const Instant now = loop_.now();
  Caller* idlest = nullptr;
  std::pair<bool, Instant> first;  // what goes first is less: never answered, or kept; then the older
  for (const auto& c : callers_) {
    const bool lingers = c->at_ == Caller::At::kLingering, reads = c->at_ == Caller::At::kReading;
    if (!lingers && !reads && c->at_ != Caller::At::kPausing) continue;
    const bool kept = c->asked_ && reads, begun = reads && c->requests_.started();
    Span spared = limits_.new_connection_grace;
    if (begun && kept) spared = limits_.partial_request_timeout;
    else if (kept) spared = limits_.min_idle_before_close;
    if (now - c->since_ < spared) continue;
    const std::pair rank(kept, c->since_);
    if ((idlest && rank >= first) || (!lingers && !c->connection_.is_idle())) continue;
    idlest = c.get();
    first = rank;
  }
  if (!idlest) return false;
  if (idlest->stands()) {  // then nothing else is left that may go
    for (const auto& c : callers_) {
      if (c->stands() && now - c->since_ >= limits_.min_idle_before_close && c->connection_.is_idle())
        c->part();
    }
    return false;
  }
  if (idlest->at_ == Caller::At::kReading && idlest->requests_.started()) {
    idlest->at_ = Caller::At::kAnswering;
    idlest->last_ = true;
    idlest->answer_plain(503);
  }
  remove(idlest);
  return true;
}

void Callers::remove(Caller* caller) {
  caller->timer_.off();
  crossed_ += caller->parted_ && caller->connection_.has_discarded_input();
  caller->connection_.close();
  const std::size_t place = caller->place_;
  std::swap(callers_[place], callers_.back());
  callers_[place]->place_ = place;
  loop_.destroy_later(std::move(callers_.back()));
  callers_.pop_back();
  pause_doors(false);
}

// Closing resets who waits to be taken: not while a full table keeps some outside, nor while some still come.
bool Callers::close_door() {
  bool none_waits = true;
  for (Listener* const door : {&listener_, veiled_.get()}) {
    if (!door) continue;
    door->pause(false);
    none_waits = door->accept_waiting() && none_waits;
  }
  if (!none_waits || loop_.now() - last_came_ < limits_.shutdown_quiet_time) return false;
  listener_.close();
  if (veiled_) veiled_->close();
  return true;
}

void Callers::part_idle() {
  const Instant now = loop_.now();
  for (const auto& c : callers_) {
    const bool reads = c->at_ == Caller::At::kReading && !c->requests_.started();
    const bool waited = c->asked_ || now - c->since_ >= limits_.min_idle_before_close;
    if ((reads || c->at_ == Caller::At::kPausing) && waited && c->connection_.is_idle()) c->part();
  }
}

}  // namespace ashbeam
