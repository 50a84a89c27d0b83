// A stand-in client: one connection at a time, one request at a time, plain or behind TLS.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "base/limits.hpp"
#include "fakes/pki.hpp"
#include "protocol/http.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"

namespace ashbeam::fakes {

class Client : public Connection::Owner {
 public:
  struct Answer {
    unsigned status = 0;  // 0: none, the connection ended
    const http::MessageParser* message = nullptr;
    bool whole_before_end = false;  // the request had been written
  };
  using Next = std::function<void(const Answer&)>;
  Client(EventLoop& loop, const Limits& limits, std::string address, std::shared_ptr<ClientTls> tls = nullptr)
      : loop_(loop), limits_(limits), address_(std::move(address)), tls_(std::move(tls)),
        answers_(http::Side::kAnswers, limits.max_head_bytes, limits.max_body_bytes) {}
  // Only once the one before has its answer. `next` is never called before this returns.
  void ask(const std::string& request, Next next);
  void finish_raw(const std::string& bytes) { connection_->write(bytes); }  // the rest of a request begun
  bool busy() const { return next_ != nullptr; }
  void hang_up();                                 // the next request opens a new connection
  std::uint64_t stray() const { return stray_; }  // bytes that answer nothing
  bool connected() const { return connection_ != nullptr; }
  bool resumed() const { return tls_ && tls_->last_resumed(); }

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
  Next next_;
  std::uint64_t stray_ = 0;
};

}  // namespace ashbeam::fakes
