// A fake endpoint: an HTTP/1.1 server on loopback whose handler determines the answers. It can be stopped and
// started again on the same port.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/limits.hpp"
#include "fakes/loopback_host.hpp"
#include "protocol/http.hpp"
#include "transport/connection.hpp"
#include "transport/event_loop.hpp"
#include "transport/listener.hpp"

namespace ashbeam::fakes {

struct EndpointAnswer {
  unsigned status = 200;
  Duration delay = Duration::ms(1);  // from the request's last byte
  bool drops_connection = false;     // close the connection instead of answering
  std::string body = "ok\n";
  std::string header_fields = {};  // in addition to Content-Length; each ends with CRLF
};

class Endpoint {
 public:
  // Called once for each complete request.
  using Handler = std::function<EndpointAnswer(const http::Head& head, const std::string& body)>;

  // Starts the server on a free port. `loop` and `limits` must outlive the endpoint.
  Endpoint(EventLoop& loop, const Limits& limits, Handler handler);
  ~Endpoint();

  std::string address() const { return loopback_host() + ":" + std::to_string(port_); }
  std::uint64_t request_count() const { return request_count_; }

  // Destroys the connections and closes the listener, so that new connections are refused.
  void stop();
  // Listens again on the same port. To be called only after stop().
  void start();

 private:
  class ServerConnection;
  void remove(ServerConnection* connection);

  EventLoop& loop_;
  const Limits& limits_;
  Handler handler_;
  std::uint16_t port_ = 0;  // 0 before the first start: any free port
  std::uint64_t request_count_ = 0;
  std::vector<std::unique_ptr<ServerConnection>> connections_;
  std::unique_ptr<Listener> listener_;
};

}  // namespace ashbeam::fakes
