// A stand-in host: HTTP/1.1, serves as it is told to, and remembers what ran.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/limits.hpp"
#include "protocol/http.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace ashbeam::fakes {

struct Served {
  unsigned status = 200;
  Span takes = Span::ms(1);
  bool breaks = false;  // the connection, in place of an answer
  std::string body = "ok\n";
};

class Endpoint {
 public:
  using Serve = std::function<Served(const http::Head& head, const std::string& body)>;
  Endpoint(EventLoop& loop, const Limits& limits, Serve serve);
  ~Endpoint();
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  std::uint64_t ran() const { return ran_; }

 private:
  class Link;
  void remove(Link* link);
  EventLoop& loop_;
  const Limits& limits_;
  Serve serve_;
  std::uint64_t ran_ = 0;
  std::vector<std::unique_ptr<Link>> links_;
  Listener listener_;
};

}  // namespace ashbeam::fakes
