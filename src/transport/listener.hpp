// Accepts TCP connections and hands their descriptors on; may pause.
#pragma once
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <string>

#include "transport/event_loop.hpp"

namespace ashbeam {

class Listener {
 public:
  // `came` owns the descriptor that it is given; a negative one says that the machine has none left, and that
  // it must pause: a connection that can't be taken is told again and again. Throws Poco::Exception where the
  // address can't be had.
  Listener(EventLoop& loop, const std::string& address, int backlog, std::function<void(int)> came);
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  void pause(bool on);
  // Hands on all that the machine has accepted already; false where it had to pause before the last of them.
  bool accept_waiting();
  void close();
  std::uint16_t port() const { return socket_.address().port(); }

 private:
  void readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) { accept_waiting(); }
  EventLoop& loop_;
  std::function<void(int)> came_;
  Poco::Net::ServerSocket socket_;
  bool watched_ = false, closed_ = false;
};

}  // namespace ashbeam
