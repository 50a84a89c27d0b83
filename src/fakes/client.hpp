// A fake client: one connection at a time and one request at a time on it, plain or behind TLS.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "base/limits.hpp"
#include "fakes/tls_client.hpp"
#include "protocol/http.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam::fakes {

class Client : public Connection::Owner {
 public:
  struct Answer {
    unsigned status = 0;  // 0: none, the connection ended
    const http::MessageParser* message = nullptr;
    bool request_written = false;  // in full, before the connection ended
  };
  using OnAnswer = std::function<void(const Answer&)>;

  // `limits` has to outlive the client. Connects with its first request.
  Client(EventLoop& loop, const Limits& limits, std::string address, std::shared_ptr<ClientTls> tls = nullptr)
      : loop_(loop), limits_(limits), address_(std::move(address)), tls_(std::move(tls)),
        answers_(http::Side::kAnswers, limits.max_head_bytes, limits.max_body_bytes) {}

  // Only once the request before has its answer. `on_answer` is called once, never before this returns.
  void send(const std::string& request, OnAnswer on_answer);
  // Sends what is missing of a request that was sent in part.
  void send_rest(const std::string& bytes) { connection_->write(bytes); }
  // The next request opens a new connection.
  void disconnect();

  bool is_busy() const { return on_answer_ != nullptr; }
  bool is_connected() const { return connection_ != nullptr; }
  bool has_resumed_session() const { return tls_ && tls_->has_resumed_session(); }
  // Bytes, or runs of them, that came without a request.
  std::uint64_t unexpected_data_count() const { return unexpected_data_count_; }

 private:
  void on_data() override;
  void on_closed() override;
  void finish(const Answer& answer);

  EventLoop& loop_;
  const Limits& limits_;
  std::string address_;
  std::shared_ptr<ClientTls> tls_;
  std::unique_ptr<Connection> connection_;
  http::MessageParser answers_;
  OnAnswer on_answer_;
  std::uint64_t unexpected_data_count_ = 0;
};

}  // namespace ashbeam::fakes
