#include "transport/connection.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>

namespace ashbeam {

namespace {

using Poco::NObserver;
using Poco::Net::ErrorNotification;
using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;

constexpr int kOpenAttempts = 2;

class Accepted : public Poco::Net::StreamSocket {  // POCO keeps this constructor for derived classes
 public:
  explicit Accepted(int fd) : StreamSocket(new Poco::Net::StreamSocketImpl(fd)) {}
};

Poco::Net::SocketAddress numeric(const std::string& address) {
  const std::size_t colon = std::min(address.rfind(':'), address.size());
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  unsigned port = 0;
  const char* const end = address.data() + address.size();
  const auto [stop, error] = std::from_chars(address.data() + std::min(colon + 1, address.size()), end, port);
  Poco::Net::IPAddress ip;
  if (stop != end || error != std::errc() || port > 65535 || !Poco::Net::IPAddress::tryParse(host, ip)) {
    throw Poco::InvalidArgumentException("not a numeric address: " + address);
  }
  return {ip, static_cast<Poco::UInt16>(port)};
}

}  // namespace

bool is_address(const std::string& address) {
  try {
    return numeric(address).port() > 0;
  } catch (const Poco::Exception&) {
    return false;
  }
}

Connection::Connection(EventLoop& loop, const Limits& limits, Owner& owner, const std::string& address,
                       MakeTlsStream veil)
    : loop_(loop), limits_(limits), owner_(owner), make_veil_(std::move(veil)) {
  try {
    open(address);
  } catch (const Poco::Exception&) {
    end(Failure::kLocal);
  }
}

// EINTR goes on by itself, as EINPROGRESS does. What this machine has run out of for a moment is asked for
// once more at once: it says nothing about the other side, and its owner is told only if that fails as well.
void Connection::open(const std::string& address) {
  const Poco::Net::SocketAddress to = numeric(address);
  int error = 0;
  for (int attempt = 0; attempt < kOpenAttempts; ++attempt) {
    const int fd = ::socket(to.af(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0 && (::connect(fd, to.addr(), to.length()) == 0 || errno == EINPROGRESS || errno == EINTR)) {
      socket_ = Accepted(fd);
      socket_.setNoDelay(true);
      return watch(false, true);
    }
    error = errno;
    if (fd >= 0) ::close(fd);
    if (failure_at_once(error) != Failure::kLocal) break;
  }
  end(failure_at_once(error));
}

Connection::Connection(EventLoop& loop, const Limits& limits, Owner& owner, int accepted,
                       std::unique_ptr<TlsStream> veil)
    : loop_(loop), limits_(limits), owner_(owner), socket_(Accepted(accepted)),
      state_(veil ? State::kShaking : State::kOpen), was_open_(!veil), veil_(std::move(veil)) {
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  watch(true, writing_);
  if (veil_)
    veil_->on_turn([this] {
      if (state_ == State::kShaking) shake();
    });
}

void Connection::take(std::size_t n) {
  taken_ += n;
  if (taken_ == in_.size()) in_.clear(), taken_ = 0;
  if (state_ != State::kOpen || unread().size() >= limits_.max_unread_bytes) return;
  if (!reading_) read_held();
  watch(true, writing_);
}

// Guards against waiting for a socket whose bytes have been read already, and stand behind the veil.
void Connection::read_held() {
  if (!veil_ || !veil_->holds()) return;
  loop_.post([this, alive = std::weak_ptr<int>(alive_)] {
    if (!alive.expired() && state_ == State::kOpen && reading_) readable({});
  });
}

void Connection::shake() {
  switch (veil_->shake()) {
    case TlsStream::Step::kRead:
      return watch(true, false);
    case TlsStream::Step::kWrite:
      return watch(true, true);
    case TlsStream::Step::kLater:
      return watch(false, false);
    case TlsStream::Step::kFailed:
      return end();
    case TlsStream::Step::kDone:
      break;
  }
  state_ = State::kOpen;
  was_open_ = true;
  watch(true, false);
  flush();
  read_held();
  if (state_ == State::kOpen) owner_.on_connected();
}

void Connection::write(std::string_view bytes) {
  if (!alive()) return;
  out_.append(bytes);
  if (state_ == State::kOpen && !writing_) flush();
}

void Connection::flush() {
  while (written_ < out_.size()) {
    const char* const from = out_.data() + written_;
    const std::size_t size = out_.size() - written_;
    const auto n =
        veil_ ? veil_->send(from, size) : ::send(socket_.impl()->sockfd(), from, size, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && errno != EAGAIN) return end();
    if (n < 0) break;
    written_ += static_cast<std::size_t>(n);
  }
  if (!unwritten()) std::string().swap(out_), written_ = 0;
  watch(reading_, unwritten());
}

void Connection::finish_writing() {
  if (state_ == State::kOpen && veil_) veil_->finish();
  if (state_ == State::kOpen) ::shutdown(socket_.impl()->sockfd(), SHUT_WR);
}

void Connection::discard() {
  discarding_ = true;
  std::string().swap(in_), taken_ = 0;
  if (state_ == State::kOpen) watch(true, writing_);
}

void Connection::writable(const Told<WritableNotification>&) {
  if (state_ == State::kShaking) return shake();
  if (state_ == State::kOpening) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return end(failure_of_pending(error));
    if (make_veil_) {
      veil_ = make_veil_(socket_.impl()->sockfd());
      state_ = State::kShaking;
      watch(true, false);
      return shake();
    }
    state_ = State::kOpen;
    was_open_ = true;
    watch(true, writing_);
    flush();
    if (state_ == State::kOpen) owner_.on_connected();
    return;
  }
  flush();
  if (state_ == State::kOpen && !unwritten()) owner_.on_write_complete();
}

void Connection::readable(const Told<ReadableNotification>&) {
  if (state_ == State::kOpening) return writable({});
  if (state_ == State::kShaking) return shake();
  if (state_ != State::kOpen) return;
  if (discarding_) {  // MSG_TRUNC: not even copied
    const auto dropped = ::recv(socket_.impl()->sockfd(), nullptr, limits_.discard_chunk_bytes, MSG_TRUNC);
    discarded_ = discarded_ || dropped > 0;
    if (dropped == 0 || (dropped < 0 && errno != EAGAIN && errno != EINTR)) end();
    return;
  }
  if (taken_ > 0) in_.erase(0, taken_), taken_ = 0;
  const std::size_t had = in_.size();
  in_.resize(had + limits_.read_chunk_bytes);
  const auto n = veil_ ? veil_->receive(in_.data() + had, limits_.read_chunk_bytes)
                       : ::recv(socket_.impl()->sockfd(), in_.data() + had, limits_.read_chunk_bytes, 0);
  const int error = errno;
  in_.resize(had + static_cast<std::size_t>(std::max<std::ptrdiff_t>(n, 0)));
  if (n < 0 && (error == EAGAIN || error == EINTR)) return;
  broken_ = n != 0;
  if (n <= 0) return end();
  if (unread().size() >= limits_.max_unread_bytes) watch(false, writing_);  // until the owner has taken some
  else read_held();
  owner_.on_data();
}

void Connection::failed(const Told<ErrorNotification>&) {
  if (state_ == State::kOpen && reading_) return;  // reading tells the rest, and what came before the break
  if (alive()) end();
}

// The owner hears of it after the call at hand.
void Connection::end(Failure why) {
  if (broken_) failure_ = why;
  state_ = State::kEnded;
  watch(false, false);
  loop_.post([this, alive = std::weak_ptr<int>(alive_)] {
    if (!alive.expired() && state_ == State::kEnded) owner_.on_closed();
  });
}

void Connection::close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  watch(false, false);
  alive_.reset();
  socket_.close();
}

bool Connection::quiet() const {
  if (state_ != State::kOpen || !unread().empty() || (veil_ && veil_->holds())) return false;
  char byte = 0;
  return ::recv(socket_.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

bool Connection::has_bytes() const {
  if (!unread().empty() || (veil_ && veil_->holds())) return true;
  char byte = 0;
  return state_ == State::kOpen && ::recv(socket_.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

template <class What>
void Connection::observe(bool on, void (Connection::*told)(const Told<What>&)) {
  const NObserver<Connection, What> observer(*this, told);
  if (on) loop_.reactor().addEventHandler(socket_, observer);
  else loop_.reactor().removeEventHandler(socket_, observer);
}

// Errors are reported whether asked for or not: unheard, they would spin the reactor. POCO 1.11 goes on
// polling for what an observer that has been removed wanted; adding one, even anew, sets the mode right.
void Connection::watch(bool reading, bool writing) {
  const bool fewer = (reading_ && !reading) || (writing_ && !writing);
  if (reading_ != reading) observe(reading_ = reading, &Connection::readable);
  if (writing_ != writing) observe(writing_ = writing, &Connection::writable);
  if (alive() != watched_ || (alive() && fewer)) observe(watched_ = alive(), &Connection::failed);
}

}  // namespace ashbeam
