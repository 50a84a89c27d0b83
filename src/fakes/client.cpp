#include "fakes/client.hpp"

namespace ashbeam::fakes {

void Client::send(const std::string& request, OnAnswer on_answer) {
  on_answer_ = std::move(on_answer);
  answers_.start_next_message();
  if (connection_ && !connection_->is_idle()) disconnect();  // the router may close an idle connection
  if (!connection_) {
    Connection::TlsStreamFactory make_stream;
    if (tls_) make_stream = [tls = tls_](int fd) { return tls->make_stream(fd); };
    connection_ = std::make_unique<Connection>(loop_, limits_, *this, address_, std::move(make_stream));
  }
  connection_->write(request);
}

void Client::disconnect() {
  if (!connection_) return;
  connection_->close();
  loop_.destroy_later(std::move(connection_));
}

void Client::on_data() {
  std::string_view bytes = connection_->unread();
  const std::size_t unread_size = bytes.size();
  if (!on_answer_) {
    ++unexpected_data_count_;
    connection_->consume(unread_size);
    return;
  }
  const auto result = answers_.feed(bytes);
  connection_->consume(unread_size - bytes.size());
  if (result == http::ParseResult::kIncomplete) return;
  if (!bytes.empty()) ++unexpected_data_count_;
  if (result == http::ParseResult::kInvalid) {
    disconnect();
    return finish({});
  }
  if (answers_.closes_connection()) disconnect();
  finish({answers_.status(), &answers_, true});
}

void Client::on_closed() {
  const bool request_written = !connection_->may_have_unwritten_output();
  disconnect();
  if (on_answer_) finish({0, nullptr, request_written});
}

void Client::finish(const Answer& answer) {
  const OnAnswer on_answer = std::exchange(on_answer_, nullptr);
  on_answer(answer);
}

}  // namespace ashbeam::fakes
