#include "transport/connection.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace ashbeam {

namespace {

using Poco::AutoPtr;
using Poco::NObserver;
using Poco::Net::ErrorNotification;
using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;

constexpr int kMaxConnectAttempts = 2;
constexpr unsigned kMaxPort = 65535;
constexpr std::size_t kMaxIdleBufferBytes = 1024;

// A socket that takes ownership of an open descriptor. In POCO that constructor is accessible only to derived
// classes.
class AdoptedSocket : public Poco::Net::StreamSocket {
 public:
  explicit AdoptedSocket(int fd) : StreamSocket(new Poco::Net::StreamSocketImpl(fd)) {}
};

// Throws Poco::InvalidArgumentException if `address` is not a numeric IP address with a port.
Poco::Net::SocketAddress parse_numeric_address(const std::string& address) {
  const std::size_t colon = std::min(address.rfind(':'), address.size());
  std::string host = address.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);

  unsigned port = 0;
  const char* const port_begin = address.data() + std::min(colon + 1, address.size());
  const char* const port_end = address.data() + address.size();
  const auto [parsed_end, error] = std::from_chars(port_begin, port_end, port);
  const bool port_valid = error == std::errc() && parsed_end == port_end && port <= kMaxPort;

  Poco::Net::IPAddress ip;
  if (!port_valid || !Poco::Net::IPAddress::tryParse(host, ip))
    throw Poco::InvalidArgumentException("expected a numeric IP address with a port, got '" + address + "'");
  return {ip, static_cast<Poco::UInt16>(port)};
}

}  // namespace

bool is_numeric_address(const std::string& address) {
  try {
    return parse_numeric_address(address).port() > 0;
  } catch (const Poco::Exception&) {
    return false;
  }
}

// ---- Connecting ----

Connection::Connection(EventLoop& loop, const Limits& limits, Owner& owner, const std::string& address,
                       TlsStreamFactory make_tls_stream)
    : loop_(loop), limits_(limits), owner_(owner), make_tls_stream_(std::move(make_tls_stream)) {
  try {
    connect(address);
  } catch (const Poco::Exception&) {
    end(ConnectionFailure::kLocal);
  }
}

Connection::Connection(EventLoop& loop, const Limits& limits, Owner& owner, int accepted_fd,
                       std::unique_ptr<TlsStream> tls_stream)
    : loop_(loop), limits_(limits), owner_(owner), socket_(AdoptedSocket(accepted_fd)),
      state_(tls_stream ? State::kHandshaking : State::kOpen), was_open_(!tls_stream),
      tls_stream_(std::move(tls_stream)) {
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  watch(true, watching_writable_);
  if (!tls_stream_) return;
  tls_stream_->set_handshake_resume_callback([this] {
    if (state_ == State::kHandshaking) continue_handshake();
  });
}

// A connect(2) that a signal interrupts continues asynchronously, like one that returns EINPROGRESS. If an
// error of this machine prevents the connection, one more attempt follows at once: the lack of a resource may
// be momentary, and the error says nothing about the peer.
void Connection::connect(const std::string& address) {
  const Poco::Net::SocketAddress remote = parse_numeric_address(address);
  ConnectionFailure failure = ConnectionFailure::kLocal;
  for (int attempt = 0; attempt < kMaxConnectAttempts && failure == ConnectionFailure::kLocal; ++attempt) {
    const int fd = ::socket(remote.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0) {
      const int result = ::connect(fd, remote.addr(), remote.length());
      if (result == 0 || errno == EINPROGRESS || errno == EINTR) {
        socket_ = AdoptedSocket(fd);
        socket_.setNoDelay(true);
        return watch(false, true);
      }
    }
    failure = classify_immediate_error(errno);
    if (fd >= 0) ::close(fd);
  }
  end(failure);
}

void Connection::complete_connect() {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return end(classify_pending_error(error));
  if (make_tls_stream_) {
    tls_stream_ = make_tls_stream_(fd());
    state_ = State::kHandshaking;
    watch(true, false);
    return continue_handshake();
  }
  state_ = State::kOpen;
  was_open_ = true;
  watch(true, watching_writable_);
  flush();
  if (state_ == State::kOpen) owner_.on_connected();
}

void Connection::continue_handshake() {
  switch (tls_stream_->handshake()) {
    case TlsStream::HandshakeResult::kWantRead:
      return watch(true, false);
    case TlsStream::HandshakeResult::kWantWrite:
      return watch(true, true);
    case TlsStream::HandshakeResult::kDeferred:
      return watch(false, false);
    case TlsStream::HandshakeResult::kFailed:
      return end();
    case TlsStream::HandshakeResult::kDone:
      break;
  }
  state_ = State::kOpen;
  was_open_ = true;
  watch(true, false);
  flush();
  schedule_read_of_buffered_tls_bytes();
  if (state_ == State::kOpen) owner_.on_connected();
}

// ---- Reading ----

void Connection::consume(std::size_t bytes) {
  consumed_ += bytes;
  if (consumed_ == input_.size()) clear_input();
  if (state_ != State::kOpen || unread().size() >= limits_.max_unread_bytes) return;
  if (!watching_readable_) schedule_read_of_buffered_tls_bytes();
  watch(true, watching_writable_);
}

void Connection::handle_readable(const AutoPtr<ReadableNotification>&) {
  if (state_ == State::kConnecting) return complete_connect();
  if (state_ == State::kHandshaking) return continue_handshake();
  if (state_ != State::kOpen) return;
  if (discarding_input_) return read_and_discard();
  read();
}

void Connection::read() {
  input_.erase(0, consumed_);
  consumed_ = 0;
  char* const buffer = loop_.read_buffer(limits_.read_chunk_bytes);
  const IoResult result = receive(buffer, limits_.read_chunk_bytes);
  input_.append(buffer, result.bytes);
  if (result.status == IoResult::Status::kWouldBlock) return;
  broken_ = result.status != IoResult::Status::kEnded;
  if (result.status != IoResult::Status::kDone) return end();
  if (unread().size() >= limits_.max_unread_bytes) watch(false, watching_writable_);  // until consume()
  else schedule_read_of_buffered_tls_bytes();
  owner_.on_data();
}

// With MSG_TRUNC the kernel discards the bytes without copying them (tcp(7)).
void Connection::read_and_discard() {
  const IoResult result = receive_from_socket(fd(), nullptr, limits_.discard_chunk_bytes, MSG_TRUNC);
  if (result.status == IoResult::Status::kDone) has_discarded_input_ = true;
  else if (result.status != IoResult::Status::kWouldBlock) end();
}

void Connection::schedule_read_of_buffered_tls_bytes() {
  if (!has_buffered_tls_bytes()) return;
  loop_.post([this, lifetime = std::weak_ptr<int>(lifetime_)] {
    if (!lifetime.expired() && state_ == State::kOpen && watching_readable_) handle_readable({});
  });
}

IoResult Connection::receive(char* buffer, std::size_t size) {
  return tls_stream_ ? tls_stream_->receive(buffer, size) : receive_from_socket(fd(), buffer, size);
}

void Connection::discard_input() {
  discarding_input_ = true;
  clear_input();
  if (state_ == State::kOpen) watch(true, watching_writable_);
}

IoResult Connection::peek() const {
  char byte = 0;
  return receive_from_socket(fd(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
}

std::string Connection::peek_input(std::size_t max_bytes) const {
  if (!unread().empty() || tls_stream_ || state_ != State::kOpen)
    return std::string(unread().substr(0, max_bytes));
  std::string bytes(max_bytes, '\0');
  bytes.resize(receive_from_socket(fd(), bytes.data(), max_bytes, MSG_PEEK | MSG_DONTWAIT).bytes);
  return bytes;
}

bool Connection::is_idle() const {
  if (state_ != State::kOpen || !unread().empty() || has_buffered_tls_bytes()) return false;
  return peek().status == IoResult::Status::kWouldBlock;
}

bool Connection::has_input() const {
  if (!unread().empty() || has_buffered_tls_bytes()) return true;
  return state_ == State::kOpen && peek().status == IoResult::Status::kDone;
}

bool Connection::is_quiet() const {
  return state_ == State::kOpen && unread().empty() && !has_buffered_tls_bytes() && !has_stream_event(fd());
}

bool Connection::has_peer_closed() const {
  if (state_ != State::kOpen && state_ != State::kHandshaking) return state_ != State::kConnecting;
  return is_stream_ended(fd());
}

// Frees the memory of a large buffer: an idle connection must not keep it.
void Connection::clear_input() {
  if (input_.capacity() > kMaxIdleBufferBytes) std::string().swap(input_);
  else input_.clear();
  consumed_ = 0;
}

// ---- Writing ----

void Connection::write(std::string_view bytes) {
  if (!is_active()) return;
  output_.append(bytes);
  if (state_ == State::kOpen && !watching_writable_) flush();
}

void Connection::handle_writable(const AutoPtr<WritableNotification>&) {
  if (state_ == State::kHandshaking) return continue_handshake();
  if (state_ == State::kConnecting) return complete_connect();
  flush();
  if (state_ == State::kOpen && !may_have_unwritten_output()) owner_.on_write_complete();
}

void Connection::flush() {
  while (written_ < output_.size()) {
    const IoResult result = send(std::string_view(output_).substr(written_));
    if (result.status == IoResult::Status::kWouldBlock) break;
    if (result.status != IoResult::Status::kDone) return end();
    written_ += result.bytes;
  }
  if (!may_have_unwritten_output()) clear_output();
  watch(watching_readable_, may_have_unwritten_output());
}

IoResult Connection::send(std::string_view bytes) {
  return tls_stream_ ? tls_stream_->send(bytes.data(), bytes.size())
                     : send_to_socket(fd(), bytes.data(), bytes.size());
}

void Connection::clear_output() {
  std::string().swap(output_);
  written_ = 0;
}

void Connection::shutdown_write() {
  if (state_ != State::kOpen) return;
  if (tls_stream_) tls_stream_->shutdown();
  ::shutdown(fd(), SHUT_WR);
}

// ---- End of the connection ----

void Connection::handle_error(const AutoPtr<ErrorNotification>&) {
  // A read returns the bytes that arrived before the error, and then the error.
  if (state_ == State::kOpen && watching_readable_) return;
  if (is_active()) end();
}

void Connection::end(ConnectionFailure failure) {
  // `broken_` is false only after an orderly shutdown of the peer, which is not a failure.
  if (broken_) failure_ = failure;
  state_ = State::kEnded;
  watch(false, false);
  loop_.post([this, lifetime = std::weak_ptr<int>(lifetime_)] {
    if (!lifetime.expired() && state_ == State::kEnded) owner_.on_closed();
  });
}

void Connection::close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  watch(false, false);
  lifetime_.reset();
  socket_.close();
}

// ---- Event registration ----

template <class Notification>
void Connection::set_handler(bool on, void (Connection::*handler)(const AutoPtr<Notification>&)) {
  const NObserver<Connection, Notification> observer(*this, handler);
  if (on) loop_.reactor().addEventHandler(socket_, observer);
  else loop_.reactor().removeEventHandler(socket_, observer);
}

// The reactor polls for errors even without a handler for them, and would then loop without waiting: an error
// handler is registered until the connection has ended. POCO 1.11 also continues to poll for the event of a
// handler that was removed. Adding any handler, even one that is registered already, makes it compute the
// polled events again.
void Connection::watch(bool readable, bool writable) {
  const bool event_removed = (watching_readable_ && !readable) || (watching_writable_ && !writable);
  if (watching_readable_ != readable) {
    watching_readable_ = readable;
    set_handler(readable, &Connection::handle_readable);
  }
  if (watching_writable_ != writable) {
    watching_writable_ = writable;
    set_handler(writable, &Connection::handle_writable);
  }
  if (is_active() != watching_errors_ || (is_active() && event_removed)) {
    watching_errors_ = is_active();
    set_handler(watching_errors_, &Connection::handle_error);
  }
}

}  // namespace ashbeam
