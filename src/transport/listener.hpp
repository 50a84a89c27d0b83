// Listens on a TCP address and passes the descriptor of each accepted connection to a callback. Accepting can
// be paused. All functions must be called on the event loop's thread.
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
  // Binds `address` and starts to accept connections. `on_accept` takes ownership of the descriptor that it
  // is called with. A negative value means that accept4(2) failed because this machine lacks a resource, such
  // as descriptors; the callback must then pause the listener, which would otherwise be reported as readable
  // without end. `backlog` is that of listen(2), and `receive_buffer_bytes` the SO_RCVBUF of
  // each connection (socket(7)); 0 leaves the system's default. Throws Poco::Exception if the address cannot
  // be bound.
  Listener(EventLoop& loop, const std::string& address, int backlog, std::function<void(int fd)> on_accept,
           int receive_buffer_bytes = 0);
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // While paused, new connections stay in the kernel's accept queue.
  void set_paused(bool paused);
  // Accepts all connections that are in the kernel's accept queue. Returns false if the listener was paused
  // before the queue was empty.
  bool accept_pending();
  // Closes the listening socket. on_accept is not called after this.
  void close();
  // Returns the port that is bound, also if the address has port 0.
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
