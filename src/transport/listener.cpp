#include "transport/listener.hpp"

#include <Poco/NObserver.h>
#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>

#include <cerrno>

namespace ashbeam {

namespace {

// Linux passes on errors of the connection that was to be accepted: the next one may be accepted all the same
// (accept(2), "Error handling").
bool concerns_one_connection(int error) {
  switch (error) {
    case EINTR:
    case ECONNABORTED:
    case ENETDOWN:
    case EPROTO:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
      return true;
    default:
      return false;
  }
}

}  // namespace

Listener::Listener(EventLoop& loop, const std::string& address, int backlog,
                   std::function<void(int fd)> on_accept)
    : loop_(loop), on_accept_(std::move(on_accept)) {
  socket_.bind(Poco::Net::SocketAddress(address), true);
  socket_.listen(backlog);
  socket_.setBlocking(false);
  set_paused(false);
}

void Listener::set_paused(bool on) {
  if (closed_ || accepting_ != on) return;
  const Poco::NObserver<Listener, Poco::Net::ReadableNotification> observer(*this,
                                                                            &Listener::handle_readable);
  if (on) loop_.reactor().removeEventHandler(socket_, observer);
  else loop_.reactor().addEventHandler(socket_, observer);
  accepting_ = !on;
}

bool Listener::accept_pending() {
  while (!closed_ && accepting_) {
    const int fd = ::accept4(socket_.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && concerns_one_connection(errno)) continue;
    if (fd < 0 && errno == EAGAIN) return true;
    on_accept_(fd);
    if (fd < 0) return false;
  }
  return closed_;
}

void Listener::close() {
  if (closed_) return;
  set_paused(true);
  closed_ = true;
  socket_.close();
}

}  // namespace ashbeam
