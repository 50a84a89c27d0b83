#include "fakes/client.hpp"

#include <utility>

namespace ashbeam::fakes {

void Client::ask(const std::string& request, Next next) {
  next_ = std::move(next);
  answers_.start_next();
  if (connection_ && !connection_->is_idle()) hang_up();  // closed between requests, as a router may
  if (!connection_) {
    Connection::TlsStreamFactory veil;
    if (tls_) veil = [tls = tls_](int fd) { return tls->veil(fd); };
    connection_ = std::make_unique<Connection>(loop_, limits_, *this, address_, std::move(veil));
  }
  connection_->write(request);
}

void Client::hang_up() {
  if (!connection_) return;
  connection_->close();
  loop_.destroy_later(std::move(connection_));
}

void Client::on_data() {
  std::string_view bytes = connection_->unread();
  const std::size_t had = bytes.size();
  if (!next_) {
    ++stray_;
    connection_->consume(had);
    return;
  }
  const auto got = answers_.feed(bytes);
  connection_->consume(had - bytes.size());
  if (got == http::ParseResult::kIncomplete) return;
  if (!bytes.empty()) ++stray_;
  if (got == http::ParseResult::kInvalid) {
    hang_up();
    return finish({});
  }
  if (answers_.closes_connection()) hang_up();
  finish({answers_.status(), &answers_, true});
}

void Client::on_closed() {
  const bool written = !connection_->has_pending_output();
  hang_up();
  if (next_) finish({0, nullptr, written});
}

void Client::finish(const Answer& answer) {
  const Next next = std::exchange(next_, nullptr);
  next(answer);
}

}  // namespace ashbeam::fakes
