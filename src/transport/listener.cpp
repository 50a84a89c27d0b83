#include "transport/listener.hpp"

#include <Poco/NObserver.h>
#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>

#include <cerrno>

namespace ashbeam {

namespace {

// Linux hands on errors of the connection that was to be taken, too: the next one may be taken all the same
// (accept(2), "Error handling").
bool of_one_connection(int error) {
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

Listener::Listener(EventLoop& loop, const std::string& address, int backlog, std::function<void(int)> came)
    : loop_(loop), came_(std::move(came)) {
  socket_.bind(Poco::Net::SocketAddress(address), true);
  socket_.listen(backlog);
  socket_.setBlocking(false);
  pause(false);
}

void Listener::pause(bool on) {
  if (closed_ || watched_ != on) return;
  const Poco::NObserver<Listener, Poco::Net::ReadableNotification> observer(*this, &Listener::readable);
  if (on) loop_.reactor().removeEventHandler(socket_, observer);
  else loop_.reactor().addEventHandler(socket_, observer);
  watched_ = !on;
}

bool Listener::accept_waiting() {
  while (!closed_ && watched_) {
    const int fd = ::accept4(socket_.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && of_one_connection(errno)) continue;
    if (fd < 0 && errno == EAGAIN) return true;
    came_(fd);
    if (fd < 0) return false;
  }
  return closed_;
}

void Listener::close() {
  if (closed_) return;
  pause(true);
  closed_ = true;
  socket_.close();
}

}  // namespace ashbeam
