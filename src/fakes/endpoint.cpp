#include "fakes/endpoint.hpp"

#include <algorithm>

namespace ashbeam::fakes {

class Endpoint::Link : private Connection::Owner {
 public:
  Link(Endpoint& host, int fd)
      : host_(host), connection_(host.loop_, host.limits_, *this, fd),
        requests_(http::Side::kRequests, host.limits_.max_head_bytes, host.limits_.max_body_bytes),
        answer_(host.loop_, [this] { answer(); }) {}

 private:
  void on_data() override {
    if (answer_.armed()) return;
    std::string_view bytes = connection_.unread();
    const std::size_t had = bytes.size();
    const auto got = requests_.feed(bytes);
    connection_.consume(had - bytes.size());
    if (got == http::ParseResult::kIncomplete) return;
    if (got == http::ParseResult::kInvalid) return host_.remove(this);
    ++host_.ran_;
    served_ = host_.serve_(requests_.head(), requests_.raw_body());
    answer_.in(served_.takes);
  }
  void answer() {
    if (served_.breaks) return host_.remove(this);
    connection_.write("HTTP/1.1 " + std::to_string(served_.status) + " X\r\nContent-Length: " +
                      std::to_string(served_.body.size()) + "\r\n\r\n" + served_.body);
    requests_.start_next();
    if (!connection_.unread().empty()) host_.loop_.post([this] { on_data(); });
  }
  void on_closed() override { host_.remove(this); }

  Endpoint& host_;
  Connection connection_;
  http::MessageParser requests_;
  Served served_;
  Timer answer_;
};

Endpoint::Endpoint(EventLoop& loop, const Limits& limits, Serve serve)
    : loop_(loop), limits_(limits), serve_(std::move(serve)),
      listener_(loop, "127.0.0.1:0", 512, [this](int fd) {
        if (fd >= 0) links_.push_back(std::make_unique<Link>(*this, fd));
      }) {}

Endpoint::~Endpoint() = default;

void Endpoint::remove(Link* link) {
  const auto at =
      std::find_if(links_.begin(), links_.end(), [link](const auto& l) { return l.get() == link; });
  if (at == links_.end()) return;
  loop_.destroy_later(std::move(*at));
  links_.erase(at);
}

}  // namespace ashbeam::fakes
