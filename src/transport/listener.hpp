// Accepts TCP connections and hands their descriptors on; may pause. All calls come from the event loop's
// thread.
#pragma once
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <cstdint>
#include <functional>
#include <string>

#include "transport/event_loop.hpp"

namespace ashbeam {

class Listener {
 public:
  // The callback owns the descriptor that it is given. A negative one says that the machine has none left,
  // and that the callback must pause the listener, which would be readable again and again. Throws
  // Poco::Exception where the address can't be bound.
  Listener(EventLoop& loop, const std::string& address, int backlog, std::function<void(int fd)> on_accept);
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void set_paused(bool on);
  // Hands on all connections that the kernel has accepted already. False where it had to pause before the
  // last of them.
  bool accept_pending();
  void close();
  std::uint16_t port() const { return socket_.address().port(); }

 private:
  void handle_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) { accept_pending(); }

  EventLoop& loop_;
  std::function<void(int fd)> on_accept_;
  Poco::Net::ServerSocket socket_;
  bool accepting_ = false;
  bool closed_ = false;
};

}  // namespace ashbeam
