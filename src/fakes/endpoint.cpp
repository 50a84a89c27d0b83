#include "fakes/endpoint.hpp"

#include <algorithm>
#include <utility>

namespace ashbeam::fakes {

namespace {

constexpr int kBacklog = 512;

std::string answer_text(const EndpointAnswer& answer) {
  return "HTTP/1.1 " + std::to_string(answer.status) + " X\r\n" + answer.header_fields +
         "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

}  // namespace

// A connection of a client. It serves one request at a time; bytes of the next one stay unread until the
// answer is written.
class Endpoint::ServerConnection : private Connection::Owner {
 public:
  ServerConnection(Endpoint& endpoint, int fd)
      : endpoint_(endpoint), connection_(endpoint.loop_, endpoint.limits_, *this, fd),
        requests_(http::MessageType::kRequest, endpoint.limits_.max_head_bytes,
                  endpoint.limits_.max_body_bytes),
        answer_timer_(endpoint.loop_, [this] { write_answer(); }) {}

 private:
  void on_data() override {
    if (answer_timer_.is_scheduled()) return;
    std::string_view bytes = connection_.unread();
    const std::size_t unread_size = bytes.size();
    const auto result = requests_.feed(bytes);
    connection_.consume(unread_size - bytes.size());
    if (result == http::ParseResult::kIncomplete) return;
    if (result == http::ParseResult::kInvalid) return endpoint_.remove(this);
    ++endpoint_.request_count_;
    answer_ = endpoint_.handler_(requests_.head(), requests_.raw_body());
    answer_timer_.schedule_after(answer_.delay);
  }
  void write_answer() {
    if (answer_.drops_connection) return endpoint_.remove(this);
    connection_.write(answer_text(answer_));
    requests_.start_next_message();
    if (!connection_.unread().empty()) endpoint_.loop_.post([this] { on_data(); });
  }
  void on_closed() override { endpoint_.remove(this); }

  Endpoint& endpoint_;
  Connection connection_;
  http::MessageParser requests_;
  EndpointAnswer answer_;
  Timer answer_timer_;
};

Endpoint::Endpoint(EventLoop& loop, const Limits& limits, Handler handler)
    : loop_(loop), limits_(limits), handler_(std::move(handler)) {
  start();
}

Endpoint::~Endpoint() = default;

void Endpoint::start() {
  listener_ = std::make_unique<Listener>(loop_, address(), kBacklog, [this](int fd) {
    if (fd >= 0) connections_.push_back(std::make_unique<ServerConnection>(*this, fd));
  });
  port_ = listener_->port();
}

void Endpoint::stop() {
  for (auto& connection : connections_) loop_.destroy_later(std::move(connection));
  connections_.clear();
  listener_->close();
  loop_.destroy_later(std::move(listener_));
}

void Endpoint::remove(ServerConnection* connection) {
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [connection](const auto& other) { return other.get() == connection; });
  if (found == connections_.end()) return;
  loop_.destroy_later(std::move(*found));
  connections_.erase(found);
}

}  // namespace ashbeam::fakes
