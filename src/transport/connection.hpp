// One TCP connection with bounded buffers, plain or behind TLS. Knows nothing of what its bytes mean.
//
// Its owner reads `unread`, consumes what it used, and writes; the callbacks say when there is more to do.
// All calls come from the event loop's thread. No callback comes while the owner is in a call to the
// connection.
#pragma once
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/limits.hpp"
#include "transport/event_loop.hpp"
#include "transport/failure.hpp"
#include "transport/io_result.hpp"
#include "transport/tls_stream.hpp"

namespace ashbeam {

// Is it a numeric IP address with a port that is not 0? A name would have to be resolved, which blocks.
bool is_numeric_address(const std::string& address);

class Connection {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_connected() {}
    virtual void on_data() = 0;          // look at unread(), and consume() what was used
    virtual void on_write_complete() {}  // after a write that could not be finished at once
    virtual void on_closed() = 0;        // by the other side, or broken; unread() still stands
  };
  using TlsStreamFactory = std::function<std::unique_ptr<TlsStream>(int fd)>;

  // Connects to a numeric address; with a factory, the connection is open once its TLS handshake is done.
  // Errors come as on_closed, with their kind in failure().
  Connection(EventLoop& loop, const Limits& limits, Owner& owner, const std::string& address,
             TlsStreamFactory make_tls_stream = nullptr);
  // Takes over an accepted socket; with a TLS stream, the connection is open once its handshake is done.
  Connection(EventLoop& loop, const Limits& limits, Owner& owner, int accepted_fd,
             std::unique_ptr<TlsStream> tls_stream = nullptr);
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool is_connecting() const { return state_ == State::kConnecting; }
  bool is_handshaking() const { return state_ == State::kHandshaking; }
  // Null where bytes are plain.
  TlsStream* tls_stream() const { return tls_stream_.get(); }

  std::string_view unread() const { return std::string_view(input_).substr(consumed_); }
  void consume(std::size_t bytes);
  // Is there something to read, in `unread` or on the socket?
  bool has_input() const;
  // Drops all further input unseen, up to the end of the stream.
  void discard_input();
  // Has anything been dropped so?
  bool has_discarded_input() const { return has_discarded_input_; }
  // Open, and nothing to read: the other side has neither closed nor sent anything. Looks at the socket
  // itself.
  bool is_idle() const;

  // Writes as much as can be at once, and the rest when the other side reads.
  void write(std::string_view bytes);
  // Was the connection never open, or is something left of what was to be written? Stands after the end, too.
  bool may_have_unwritten_output() const { return !was_open_ || written_ < output_.size(); }
  // Tells the other side that nothing more comes; reading goes on.
  void shutdown_write();

  // After the end: the other side did not end it in order, so what came may be incomplete.
  bool is_broken() const { return broken_; }
  // After the end: what ended the connection, or kept it from opening.
  ConnectionFailure failure() const { return failure_; }
  // No callback comes after this.
  void close();

 private:
  enum class State : std::uint8_t { kConnecting, kHandshaking, kOpen, kEnded, kClosed };

  void handle_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void handle_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void handle_error(const Poco::AutoPtr<Poco::Net::ErrorNotification>&);
  template <class Notification>
  void observe(bool on, void (Connection::*handler)(const Poco::AutoPtr<Notification>&));
  void watch(bool reading, bool writing);

  void connect(const std::string& address);
  void complete_connect();
  void continue_handshake();
  void read();
  void read_and_discard();
  void read_buffered_tls_bytes();
  IoResult receive(char* buffer, std::size_t size);
  void flush();
  IoResult send(std::string_view bytes);
  void clear_input();
  void clear_output();
  void end(ConnectionFailure failure = ConnectionFailure::kBroken);
  bool alive() const { return state_ < State::kEnded; }  // by the order of the states
  bool has_buffered_tls_bytes() const { return tls_stream_ && tls_stream_->has_buffered_bytes(); }
  IoResult peek() const;
  int fd() const { return socket_.impl()->sockfd(); }

  EventLoop& loop_;
  const Limits& limits_;
  Owner& owner_;
  Poco::Net::StreamSocket socket_;
  State state_ = State::kConnecting;
  bool was_open_ = false;
  bool reading_ = false;          // what the reactor watches for
  bool writing_ = false;          // the same
  bool watching_errors_ = false;  // the same
  bool discarding_input_ = false;
  bool has_discarded_input_ = false;
  bool broken_ = true;
  ConnectionFailure failure_ = ConnectionFailure::kNone;
  std::string input_;
  std::size_t consumed_ = 0;  // of input_
  std::string output_;
  std::size_t written_ = 0;           // of output_
  TlsStreamFactory make_tls_stream_;  // until the socket is connected
  std::unique_ptr<TlsStream> tls_stream_;
  // Posted functions hold it weakly, and do nothing once it is gone.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}  // namespace ashbeam
