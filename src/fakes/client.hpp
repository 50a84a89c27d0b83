// A fake HTTP/1.1 client for tests, fault tests and benchmarks. It has at most one connection, plain or TLS,
// and at most one request on it.
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
    unsigned status = 0;                           // 0: no valid answer was received
    const http::MessageParser* message = nullptr;  // null if `status` is 0
    bool request_written = false;  // whether all of the request was written before the connection ended
  };
  using OnAnswer = std::function<void(const Answer&)>;

  // `loop` and `limits` must outlive the client. The connection is opened by the first request. `tls` is null
  // for a plain connection.
  Client(EventLoop& loop, const Limits& limits, std::string address, std::shared_ptr<ClientTls> tls = nullptr)
      : loop_(loop), limits_(limits), address_(std::move(address)), tls_(std::move(tls)),
        answers_(http::MessageType::kResponse, limits.max_head_bytes, limits.max_body_bytes) {}

  // Sends a request; the previous one must have been answered. `on_answer` is called once, with status 0 if
  // the connection ends first, and never before this function returns.
  void send(const std::string& request, OnAnswer on_answer);
  // Sends the remaining bytes of a request that was passed to send() incomplete.
  void send_rest(const std::string& bytes) { connection_->write(bytes); }
  // Closes the connection. The next request opens a new one.
  void disconnect();

  // Whether a request waits for its answer.
  bool is_busy() const { return on_answer_ != nullptr; }
  bool is_connected() const { return connection_ != nullptr; }
  // Whether the latest handshake resumed a TLS session.
  bool has_resumed_session() const { return tls_ && tls_->has_resumed_session(); }
  // Returns how often data was received that answers no request.
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
