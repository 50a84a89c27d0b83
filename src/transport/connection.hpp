// A TCP connection, with or without TLS, that buffers its input and output. It does not interpret the bytes.
//
// The owner reads input with unread(), removes the part that it has processed with consume(), and sends bytes
// with write(). Callbacks report new input, completed writes and the end of the connection. The owner must
// make all calls on the event loop's thread. The connection does not call back while the owner is inside a
// call to it.
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

// Returns whether `address` is a numeric IP address with a port other than 0. Host names are not supported,
// because resolving one blocks.
bool is_numeric_address(const std::string& address);

class Connection {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // Called when a connection that this process opened is established, or when a TLS handshake is complete.
    virtual void on_connected() {}
    // Called when unread() has new bytes.
    virtual void on_data() = 0;
    // Called when all output has been written, if write() could not write it at once.
    virtual void on_write_complete() {}
    // Called once when the peer has closed the connection or the connection has failed. unread() still
    // returns the input that was received before.
    virtual void on_closed() = 0;
  };
  // Creates the TLS stream of a connected socket. The connection continues to own the socket.
  using TlsStreamFactory = std::function<std::unique_ptr<TlsStream>(int fd)>;

  // Connects to `address`, a numeric IP address with a port. With a TLS stream factory, the connection is
  // open once the TLS handshake is complete. Errors are reported by on_closed(); failure() then returns their
  // kind.
  Connection(EventLoop& loop, const Limits& limits, Owner& owner, const std::string& address,
             TlsStreamFactory make_tls_stream = nullptr);
  // Takes ownership of an accepted socket. With a TLS stream, the connection is open once the TLS handshake
  // is complete.
  Connection(EventLoop& loop, const Limits& limits, Owner& owner, int accepted_fd,
             std::unique_ptr<TlsStream> tls_stream = nullptr);
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool is_connecting() const { return state_ == State::kConnecting; }
  bool is_handshaking() const { return state_ == State::kHandshaking; }
  // Returns null if the connection does not use TLS.
  TlsStream* tls_stream() const { return tls_stream_.get(); }

  // Returns the received bytes that have not been consumed. The view is valid until control returns to the
  // event loop or the next call to consume() or discard_input().
  std::string_view unread() const { return std::string_view(input_).substr(consumed_); }
  // Removes the first `bytes` bytes of unread().
  void consume(std::size_t bytes);
  // Returns whether there are bytes to read, in unread(), in the TLS stream or in the socket's receive
  // buffer.
  bool has_input() const;
  // Discards unread() and all further input, without calling on_data(), up to the end of the stream.
  void discard_input();
  // Returns whether input has arrived since discard_input() and was discarded.
  bool has_discarded_input() const { return has_discarded_input_; }
  // Returns the first bytes of the input that has arrived, at most `max_bytes`, and leaves them unread. Sees
  // bytes that the event loop has not handled yet, unless the connection uses TLS.
  std::string peek_input(std::size_t max_bytes) const;
  // Returns whether the connection is open and has no input, so that the peer has neither sent bytes nor
  // closed it. Checks the socket itself, and therefore also sees events that the event loop has not handled
  // yet.
  bool is_idle() const;
  // Returns whether the peer has closed the connection or reset it. Checks the socket itself: the end of the
  // stream is seen behind unread bytes, and before the event loop has handled it.
  bool has_peer_closed() const;
  // Returns whether the connection is open, and neither bytes nor the end of the stream have arrived.
  bool is_quiet() const;

  // Writes as many bytes as the socket takes at once, and buffers the rest until the socket is writable.
  void write(std::string_view bytes);
  // Returns whether the connection was never open or some of its output has not been written. Remains valid
  // after on_closed().
  bool may_have_unwritten_output() const { return !was_open_ || written_ < output_.size(); }
  // Returns how many bytes of output have not been written to the socket.
  std::size_t unwritten_bytes() const { return output_.size() - written_; }
  // Closes the sending direction, so that the peer reads the end of the stream. Input is still received.
  void shutdown_write();

  // After on_closed(): returns whether the connection ended other than by an orderly shutdown of the peer, so
  // that the input may be incomplete.
  bool is_broken() const { return broken_; }
  // After on_closed(): returns why the connection failed or could not be established.
  ConnectionFailure failure() const { return failure_; }
  // Closes the socket. No callback is called after this.
  void close();

 private:
  // The states in their order in time. A connection is kEnded when the peer has closed it or it has failed,
  // and kClosed once close() has been called.
  enum class State : std::uint8_t { kConnecting, kHandshaking, kOpen, kEnded, kClosed };

  void handle_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void handle_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void handle_error(const Poco::AutoPtr<Poco::Net::ErrorNotification>&);
  // Adds the handler to the reactor if `on`, and removes it otherwise.
  template <class Notification>
  void set_handler(bool on, void (Connection::*handler)(const Poco::AutoPtr<Notification>&));
  // Sets which events of the socket the reactor reports: that it is readable, that it is writable. Errors are
  // reported until the connection has ended.
  void watch(bool readable, bool writable);

  void connect(const std::string& address);
  void complete_connect();
  void continue_handshake();
  void read();
  void read_and_discard();
  // Schedules a read if the TLS stream has buffered bytes. They have left the socket, which therefore does
  // not become readable for them.
  void schedule_read_of_buffered_tls_bytes();
  IoResult receive(char* buffer, std::size_t size);
  void flush();
  IoResult send(std::string_view bytes);
  void clear_input();
  void clear_output();
  // Ends the connection. Calls on_closed() after the current callback.
  void end(ConnectionFailure failure = ConnectionFailure::kBroken);
  // Returns whether the connection is being established or is open.
  bool is_active() const { return state_ < State::kEnded; }
  bool has_buffered_tls_bytes() const { return tls_stream_ && tls_stream_->has_buffered_bytes(); }
  // Reads one byte of the socket without removing it.
  IoResult peek() const;
  int fd() const { return socket_.impl()->sockfd(); }

  EventLoop& loop_;
  const Limits& limits_;
  Owner& owner_;
  Poco::Net::StreamSocket socket_;
  State state_ = State::kConnecting;
  bool was_open_ = false;
  // Each of these three says whether a handler for the event is registered with the reactor.
  bool watching_readable_ = false;
  bool watching_writable_ = false;
  bool watching_errors_ = false;
  bool discarding_input_ = false;
  bool has_discarded_input_ = false;
  bool broken_ = true;  // until the peer has ended the stream in order
  ConnectionFailure failure_ = ConnectionFailure::kNone;
  std::string input_;
  std::size_t consumed_ = 0;  // bytes of input_
  std::string output_;
  std::size_t written_ = 0;           // bytes of output_
  TlsStreamFactory make_tls_stream_;  // called once the socket is connected
  std::unique_ptr<TlsStream> tls_stream_;
  // Posted functions hold a weak pointer to this, and do nothing once it has expired.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}  // namespace ashbeam
