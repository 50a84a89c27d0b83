#include "transport/io_result.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace ashbeam {

namespace {

short stream_events(int socket) {
  pollfd events{socket, POLLIN | POLLRDHUP, 0};
  return ::poll(&events, 1, 0) > 0 ? events.revents : short{0};
}

}  // namespace

// After EINTR the caller reads again at the next readiness event.
IoResult receive_from_socket(int socket, char* buffer, std::size_t size, int flags) {
  const auto count = ::recv(socket, buffer, size, flags);
  if (count > 0) return IoResult::done(static_cast<std::size_t>(count));
  if (count == 0) return IoResult::ended();
  return errno == EAGAIN || errno == EINTR ? IoResult::would_block() : IoResult::broken();
}

bool is_stream_ended(int socket) {
  return (stream_events(socket) & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

bool has_stream_event(int socket) { return stream_events(socket) != 0; }

IoResult send_to_socket(int socket, const char* bytes, std::size_t size) {
  for (;;) {
    const auto count = ::send(socket, bytes, size, MSG_NOSIGNAL);
    if (count >= 0) return IoResult::done(static_cast<std::size_t>(count));
    if (errno == EAGAIN) return IoResult::would_block();
    if (errno != EINTR) return IoResult::broken();
  }
}

}  // namespace ashbeam
