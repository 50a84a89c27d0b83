#include "transport/listener.hpp"

#include <Poco/NObserver.h>
#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>

#include <cerrno>

namespace ashbeam {

namespace {

// Returns whether an error of accept4(2) is one of the connection that was to be accepted. Linux reports
// pending network errors of that connection by accept4(2) (see accept(2), "Error handling"); the next
// connection may be accepted all the same.
bool is_connection_error(int error) {
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
                   std::function<void(int fd)> on_accept, int receive_buffer_bytes)
    : loop_(loop), on_accept_(std::move(on_accept)) {
  socket_.bind(Poco::Net::SocketAddress(address), true);
  // Accepted sockets inherit the size. An error leaves the default size, which costs only memory.
  if (receive_buffer_bytes > 0)
    ::setsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof receive_buffer_bytes);
  socket_.listen(backlog);
  socket_.setBlocking(false);
  set_paused(false);
}

void Listener::set_paused(bool paused) {
  if (closed_ || accepting_ != paused) return;
  const Poco::NObserver<Listener, Poco::Net::ReadableNotification> observer(*this,
                                                                            &Listener::handle_readable);
  if (paused) loop_.reactor().removeEventHandler(socket_, observer);
  else loop_.reactor().addEventHandler(socket_, observer);
  accepting_ = !paused;
}

bool Listener::accept_pending() {
  while (!closed_ && accepting_) {
    const int fd = ::accept4(socket_.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && is_connection_error(errno)) continue;
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
